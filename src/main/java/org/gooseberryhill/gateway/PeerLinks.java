package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.decision.membership.HostRoster;
import org.gooseberryhill.decision.membership.HostSign;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;

/** The other hosts, by the roster of those that live, and messages to them. Used by the control thread only. */
final class PeerLinks {
    /** How long a reply may take: many trips between zones, less than any bound that hangs on it. */
    private static final long ASK_TIMEOUT_MILLIS = 700;

    private final GatewayContext context;
    private final HostRoster roster;

    PeerLinks(GatewayContext context) {
        this.context = context;
        this.roster = new HostRoster(context.settings().self().id(), context.processStart());
    }

    /** Takes in the list of live hosts. */
    void listed(Collection<ListedHost> live) {
        roster.listed(live, context.nowNanos());
    }

    /** A host's report came. */
    void heard(HostId from, GatewayMessage.InFlightReport report) {
        HostSign sign = new HostSign(report.processStart(), report.leaving(), report.storeReached());
        roster.heard(from, sign, context.nowNanos());
    }

    /** A host answered. */
    void answered(HostId from) {
        roster.answered(from, context.nowNanos());
    }

    /** The hosts that have been silent for too long, each named once. */
    List<HostId> takeSilent() {
        return roster.takeSilent(context.nowNanos());
    }

    /** The process of each host, this one too, that is known to live now, by host. */
    Map<String, String> liveStarts() {
        return roster.liveStarts(context.nowNanos());
    }

    /** The other hosts that serve callers. */
    List<Host> gateways() {
        return roster.gateways(context.nowNanos());
    }

    /** The hosts with a disk. */
    List<Host> stores() {
        return roster.stores();
    }

    /** The other gateways that were heard lately and are not stopping. */
    List<Host> staying() {
        return roster.staying(context.nowNanos());
    }

    /** The other gateways that reach the key-value store. */
    List<Host> reachingStore() {
        return roster.reachingStore(context.nowNanos());
    }

    Optional<Host> find(HostId id) {
        return roster.find(id, context.nowNanos());
    }

    /** Whether this host is the one of those that stay which a matter falls to, by rendezvous hashing. */
    boolean isChosen(String matter) {
        List<Host> hosts = new ArrayList<>(staying());
        hosts.add(context.settings().self());
        return Ownership.rank(matter, hosts)
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

    /** Tells all gateways; whoever does not get it learns it in another way. */
    void tellAll(PeerMessage message) {
        List<Address> addresses = new ArrayList<>();
        gateways().forEach(host -> addresses.add(host.address()));
        context.peers().postAll(addresses, PeerLane.CONTROL, message);
    }
}
