package org.gooseberryhill.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.EndpointSettings;

/**
 * All endpoints that an entry host knows, by name and by service. Not thread-safe.
 *
 * <p>Invariant: an endpoint known to be leaving from any source gets no new request; failures never eject more than
 * half of a service's endpoints, since a cut at this host looks like a failure of all of them.
 */
public final class EndpointTable {
    private final Map<String, EndpointState> byName = new LinkedHashMap<>();
    private Map<String, ServicePool> pools = Map.of();

    /** Takes in a configuration; counts and failures of endpoints that stay are kept. */
    public void configure(Configuration configuration) {
        byName.keySet().retainAll(configuration.endpoints().keySet());
        Map<String, List<EndpointState>> byService = new HashMap<>();
        for (EndpointSettings settings : configuration.endpoints().values()) {
            EndpointState state = byName.computeIfAbsent(settings.name(), name -> new EndpointState(settings));
            state.settings(settings);
            byService
                    .computeIfAbsent(settings.service(), service -> new ArrayList<>())
                    .add(state);
        }
        Map<String, ServicePool> newPools = new HashMap<>();
        byService.forEach((service, endpoints) -> newPools.put(service, new ServicePool(endpoints)));
        pools = newPools;
    }

    /** The endpoints that the host list, a steward or an endpoint's own answer says are leaving. */
    public void leaving(Set<String> names) {
        byName.values().forEach(state -> state.leaving(names.contains(state.name())));
    }

    /** A steward's report of an endpoint. */
    public void reported(String name, int online, int batch) {
        find(name).ifPresent(state -> state.reported(online, batch));
    }

    /** A service's endpoints; empty if none is configured. */
    public Optional<ServicePool> pool(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    /** An endpoint by name. */
    public Optional<EndpointState> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** All endpoints. */
    public Iterable<EndpointState> all() {
        return byName.values();
    }

    /** An attempt started. */
    public void started(String name) {
        find(name).ifPresent(EndpointState::started);
    }

    /** An attempt ended with a whole answer. */
    public void succeeded(String name, long runNanos) {
        find(name).ifPresent(state -> {
            state.ended();
            state.succeeded(runNanos);
        });
    }

    /** An attempt was given up by this host itself; it says nothing about the endpoint. */
    public void abandoned(String name) {
        find(name).ifPresent(EndpointState::ended);
    }

    /** An attempt failed; unreachable means that no connection could be made. */
    public void failed(String name, boolean unreachable, long nowNanos) {
        find(name).ifPresent(state -> {
            state.ended();
            if (state.failed(unreachable) && mayEject(state, nowNanos)) {
                state.eject(nowNanos);
            }
        });
    }

    private boolean mayEject(EndpointState state, long nowNanos) {
        List<EndpointState> peers = pools.containsKey(state.settings().service())
                ? pools.get(state.settings().service()).endpoints()
                : List.of();
        long ejected = peers.stream().filter(peer -> peer.isEjected(nowNanos)).count();
        return (ejected + 1) * 2 <= peers.size();
    }
}
