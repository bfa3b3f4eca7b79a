package org.gooseberryhill.decision.drain;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the leaving endpoints, which get no new work, as reported by several sources. Not thread-safe.
 *
 * <p>The platform's host list alone is not enough: it lags by many seconds, during which requests would still be sent
 * to an endpoint that is about to stop. Therefore the endpoint's own status and reports from peers count as well. An
 * endpoint gets work again only when no source reports it as leaving.
 */
public final class LeavingEndpoints {
    private final Map<LeavingSource, Set<String>> bySource = new EnumMap<>(LeavingSource.class);

    /** Replaces the set of endpoints that a source reports as leaving. */
    public void replace(LeavingSource source, Set<String> endpoints) {
        bySource.put(source, new HashSet<>(endpoints));
    }

    /** Records whether a source reports one endpoint as leaving. */
    public void update(LeavingSource source, String endpoint, boolean leaving) {
        Set<String> endpoints = bySource.computeIfAbsent(source, key -> new HashSet<>());
        if (leaving) {
            endpoints.add(endpoint);
        } else {
            endpoints.remove(endpoint);
        }
    }

    /** Returns the endpoints that at least one source reports as leaving. */
    public Set<String> all() {
        Set<String> union = new HashSet<>();
        bySource.values().forEach(union::addAll);
        return union;
    }

    /**
     * Returns the endpoints to announce to peers as leaving: those reported by sources other than peers. If hosts
     * passed on what peers told them, such reports would circulate forever.
     */
    public Set<String> directlyObserved() {
        Set<String> union = new HashSet<>();
        bySource.forEach((source, endpoints) -> {
            if (source != LeavingSource.PEER) {
                union.addAll(endpoints);
            }
        });
        return union;
    }
}
