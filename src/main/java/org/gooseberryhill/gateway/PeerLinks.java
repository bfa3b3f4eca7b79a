package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.decision.membership.HostReport;
import org.gooseberryhill.decision.membership.HostRoster;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;

/** Keeps the roster of live hosts and sends messages to them. Confined to the control thread. */
final class PeerLinks {
    /** Timeout of a reply: many round trips between availability zones, but less than any time limit that depends on it. */
    private static final long ASK_TIMEOUT_MILLIS = 700;

    private final GatewayContext context;
    private final HostRoster roster;

    PeerLinks(GatewayContext context) {
        this.context = context;
        this.roster = new HostRoster(context.settings().self().id(), context.processStart());
    }

    /** Updates the list of live hosts. */
    void updateListedHosts(Collection<ListedHost> live) {
        roster.updateListedHosts(live, context.nowNanos());
    }

    /** Records the report of a host. */
    void recordReport(HostId from, GatewayMessage.HostHeartbeat report) {
        HostReport hostReport = new HostReport(report.processStart(), report.leaving(), report.storeReached());
        roster.recordReport(from, hostReport, context.nowNanos());
    }

    /** Records that a host answered. */
    void recordAnswer(HostId from) {
        roster.recordAnswer(from, context.nowNanos());
    }

    /** Records a message of any kind from a host. */
    void recordMessage(HostId from) {
        roster.recordMessage(from);
    }

    /** Records that a watcher of a host does not hear it; returns whether the host counts as silent from now on. */
    boolean recordSilence(HostId watcher, HostId silent) {
        return roster.recordSilence(watcher, silent, context.nowNanos());
    }

    /** Records that a host reports to others from now on. */
    void recordWatchEnd(HostId from) {
        roster.recordWatchEnd(from);
    }

    /** Returns the hosts that watch this one. */
    List<Host> watchers() {
        return roster.watchers(context.nowNanos());
    }

    /** Returns the hosts that this one watches and does not hear. */
    List<HostId> silentHosts() {
        return roster.silentHosts(context.nowNanos());
    }

    /** Returns the hosts that have been silent for too long, each only once. */
    List<HostId> takeSilentHosts() {
        return roster.takeNewlySilent(context.nowNanos());
    }

    /** Returns the process start ids of all hosts that count as alive, including this one, by host. */
    Map<String, String> liveProcessStarts() {
        return roster.liveProcessStarts(context.nowNanos());
    }

    /** Returns the other hosts that serve callers. */
    List<Host> gateways() {
        return roster.gateways(context.nowNanos());
    }

    /** Returns the hosts with a disk. */
    List<Host> diskHosts() {
        return roster.diskHosts();
    }

    /** Returns the other gateways that reported recently and are not stopping. */
    List<Host> activeGateways() {
        return roster.activeGateways(context.nowNanos());
    }

    /** Returns the other gateways that are not known to be silent or stopping, including those that were not heard yet. */
    List<Host> gatewaysNotKnownLost() {
        return roster.gatewaysNotKnownLost(context.nowNanos());
    }

    /** Returns the other gateways that understand messages on the origins of streams and are not known to be lost. */
    List<Host> gatewaysWithStreamOrigins() {
        return roster.gatewaysThatUnderstand(ListedHost.STREAM_ORIGINS_MESSAGE_SET, context.nowNanos());
    }

    /** Returns the other gateways that understand messages on parts of prompts and are not known to be lost. */
    List<Host> gatewaysWithPromptParts() {
        return roster.gatewaysThatUnderstand(ListedHost.PROMPT_PARTS_MESSAGE_SET, context.nowNanos());
    }

    /** Returns the other gateways that understand messages on the room of zones and are not known to be lost. */
    List<Host> gatewaysWithZoneRoom() {
        return roster.gatewaysThatUnderstand(ListedHost.ZONE_ROOM_MESSAGE_SET, context.nowNanos());
    }

    /** Returns the other gateways that understand messages on the use of slots by account and are not known to be lost. */
    List<Host> gatewaysWithAccountUse() {
        return roster.gatewaysThatUnderstand(ListedHost.ACCOUNT_USE_MESSAGE_SET, context.nowNanos());
    }

    /** Returns whether more than half of the gateways, this one included, are known to be alive. */
    boolean isInTouchWithMost() {
        int known = gateways().size() + 1;
        return (activeGateways().size() + 1) * 2 > known;
    }

    /** Returns the other gateways that reach the key-value store. */
    List<Host> gatewaysReachingKeyValueStore() {
        return roster.gatewaysReachingKeyValueStore(context.nowNanos());
    }

    Optional<Host> find(HostId id) {
        return roster.find(id, context.nowNanos());
    }

    /** Returns whether rendezvous hashing assigns a key to this host, among the gateways that are not stopping. */
    boolean isResponsibleFor(String key) {
        List<Host> hosts = new ArrayList<>(activeGateways());
        hosts.add(context.settings().self());
        return Ownership.rank(key, hosts)
                .get(0)
                .id()
                .equals(context.settings().self().id());
    }

    CompletableFuture<PeerMessage> ask(Host host, PeerMessage message) {
        return ask(host, message, ASK_TIMEOUT_MILLIS);
    }

    CompletableFuture<PeerMessage> ask(Host host, PeerMessage message, long timeoutMillis) {
        return context.peers().ask(host.address(), PeerLane.CONTROL, message, timeoutMillis);
    }

    /**
     * Posts a message to all other gateways. A gateway that does not receive it learns of its content in another way.
     */
    void broadcast(PeerMessage message) {
        List<Address> addresses = new ArrayList<>();
        gateways().forEach(host -> addresses.add(host.address()));
        context.peers().postAll(addresses, PeerLane.CONTROL, message);
    }
}
