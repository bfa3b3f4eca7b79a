package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;

/** The other gateways as the store lists them, and messages to them. Used by the control thread only. */
final class PeerLinks {
    /** How long a reply may take: many trips between zones, less than any bound that hangs on it. */
    private static final long ASK_TIMEOUT_MILLIS = 700;

    private final GatewayContext context;
    private Map<HostId, Host> hosts = Map.of();

    PeerLinks(GatewayContext context) {
        this.context = context;
    }

    /** Takes in the list of live hosts. */
    void hosts(Collection<Host> live) {
        Map<HostId, Host> others = new LinkedHashMap<>();
        live.stream()
                .filter(host -> !host.id().equals(context.settings().self().id()))
                .forEach(host -> others.put(host.id(), host));
        hosts = others;
    }

    Collection<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /** The other hosts that serve callers. */
    List<Host> gateways() {
        return hosts.values().stream()
                .filter(host -> host.role() == Role.GATEWAY)
                .toList();
    }

    Optional<Host> find(HostId id) {
        return Optional.ofNullable(hosts.get(id));
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
}
