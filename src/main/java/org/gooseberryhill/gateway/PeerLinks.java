package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;

/**
 * The other hosts as the store lists them, what was last heard from each, and messages to them. Used by the control thread
 * only.
 */
final class PeerLinks {
    /** How long a reply may take: many trips between zones, less than any bound that hangs on it. */
    private static final long ASK_TIMEOUT_MILLIS = 700;

    /** A host that was not heard for this long is not asked for help: three reports are missing. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(3500);

    private final GatewayContext context;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private Map<HostId, HostValue> listed = Map.of();

    PeerLinks(GatewayContext context) {
        this.context = context;
    }

    /** Takes in the list of live hosts. */
    void listed(Collection<HostValue> live) {
        Map<HostId, HostValue> others = new LinkedHashMap<>();
        live.stream()
                .filter(value ->
                        !value.host().id().equals(context.settings().self().id()))
                .forEach(value -> others.put(value.host().id(), value));
        listed = others;
    }

    /** A host's report came. */
    void heard(HostId from, GatewayMessage.InFlightReport report) {
        heard.put(from, new Heard(report.processStart(), report.leaving(), report.storeReached(), context.nowNanos()));
    }

    /** A host answered. */
    void answered(HostId from) {
        heard.computeIfPresent(from, (host, last) -> last.at(context.nowNanos()));
    }

    /** The hosts that have been silent for too long, each named once. */
    List<HostId> takeSilent() {
        List<HostId> silent = heard.entrySet().stream()
                .filter(entry -> !entry.getValue().isFresh(context.nowNanos()))
                .map(Map.Entry::getKey)
                .toList();
        silent.forEach(heard::remove);
        return silent;
    }

    /** The process of a host that is known to live now: by what was heard of it, else by the list. */
    Optional<String> liveStart(String host) {
        if (host.equals(context.settings().self().id().value())) {
            return Optional.of(context.processStart());
        }
        HostId id = new HostId(host);
        Heard last = heard.get(id);
        if (last != null && last.isFresh(context.nowNanos())) {
            return Optional.of(last.processStart);
        }
        return Optional.ofNullable(listed.get(id)).map(HostValue::processStart);
    }

    /** The other hosts that serve callers. */
    List<Host> gateways() {
        return listed.values().stream()
                .map(HostValue::host)
                .filter(host -> host.role() == Role.GATEWAY)
                .toList();
    }

    /** The other gateways that were heard lately and are not stopping. */
    List<Host> staying() {
        return gateways().stream()
                .filter(host -> isHeard(host.id(), last -> !last.leaving))
                .toList();
    }

    /** The other gateways that reach the key-value store. */
    List<Host> reachingStore() {
        return gateways().stream()
                .filter(host -> isHeard(host.id(), last -> last.storeReached))
                .toList();
    }

    Optional<Host> find(HostId id) {
        return Optional.ofNullable(listed.get(id)).map(HostValue::host);
    }

    CompletableFuture<PeerMessage> ask(Host host, PeerMessage message) {
        return ask(host, message, ASK_TIMEOUT_MILLIS);
    }

    CompletableFuture<PeerMessage> ask(Host host, PeerMessage message, long timeoutMillis) {
        return context.peers().ask(host.address(), PeerLane.CONTROL, message, timeoutMillis);
    }

    /** Tells all gateways; whoever does not get it learns it in another way. */
    void tellAll(PeerMessage message) {
        gateways().forEach(host -> context.peers().post(host.address(), PeerLane.CONTROL, message));
    }

    private boolean isHeard(HostId id, Predicate<Heard> condition) {
        Heard last = heard.get(id);
        return last != null && last.isFresh(context.nowNanos()) && condition.test(last);
    }

    /** What was last heard of a host. */
    private record Heard(String processStart, boolean leaving, boolean storeReached, long atNanos) {
        Heard at(long nanos) {
            return new Heard(processStart, leaving, storeReached, nanos);
        }

        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos < SILENT_NANOS;
        }
    }
}
