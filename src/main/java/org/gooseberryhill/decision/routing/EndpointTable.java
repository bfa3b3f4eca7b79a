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
 * Indexes the endpoints in an entry host's configuration by name and by service. Not thread-safe.
 *
 * <p>Invariants: an endpoint that any source reports as leaving gets no new request; failures never eject more than
 * half of a service's endpoints, since a network failure at this host looks like a failure of all of them.
 */
public final class EndpointTable {
    private final Map<String, EndpointState> byName = new LinkedHashMap<>();
    private Map<String, ServicePool> pools = Map.of();

    /** Applies a configuration. Endpoints that remain keep their request counts and failure history. */
    public void configure(Configuration configuration) {
        byName.keySet().retainAll(configuration.endpoints().keySet());
        Map<String, List<EndpointState>> byService = new HashMap<>();
        for (EndpointSettings settings : configuration.endpoints().values()) {
            EndpointState state = byName.computeIfAbsent(settings.name(), name -> new EndpointState(settings));
            state.setSettings(settings);
            byService
                    .computeIfAbsent(settings.service(), service -> new ArrayList<>())
                    .add(state);
        }
        Map<String, ServicePool> newPools = new HashMap<>();
        byService.forEach((service, endpoints) -> newPools.put(service, new ServicePool(endpoints)));
        pools = newPools;
    }

    /** Replaces the set of endpoints that are leaving according to the host list, a steward or their own status. */
    public void setLeaving(Set<String> names) {
        byName.values().forEach(state -> state.setLeaving(names.contains(state.name())));
    }

    /** Applies a steward's report of the online requests and batch items in flight at an endpoint. */
    public void recordReport(String name, int online, int batch) {
        find(name).ifPresent(state -> state.recordReport(online, batch));
    }

    /** Returns the endpoints of a service, or empty if none is configured. */
    public Optional<ServicePool> pool(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    /** Returns the endpoint with a name, or empty if none is configured under that name. */
    public Optional<EndpointState> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns all endpoints. */
    public Iterable<EndpointState> all() {
        return byName.values();
    }

    /** Records the start of an attempt at an endpoint. */
    public void recordStart(String name) {
        find(name).ifPresent(EndpointState::recordStart);
    }

    /** Records an attempt that ended with a complete answer. */
    public void recordSuccess(String name, long runNanos) {
        find(name).ifPresent(state -> {
            state.recordEnd();
            state.recordSuccess(runNanos);
        });
    }

    /** Records an attempt that this host cancelled. It does not count for or against the endpoint's health. */
    public void recordCancellation(String name) {
        find(name).ifPresent(EndpointState::recordEnd);
    }

    /**
     * Records a failed attempt and ejects the endpoint if needed.
     *
     * @param unreachable whether no connection could be made, which ejects the endpoint at the first failure
     */
    public void recordFailure(String name, boolean unreachable, long nowNanos) {
        find(name).ifPresent(state -> {
            state.recordEnd();
            if (state.recordFailure(unreachable) && mayEject(state, nowNanos)) {
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
