package org.gooseberryhill.decision.drain;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that get no new work, from whichever source said so first. Not thread-safe.
 *
 * <p>Failure: the host list lags by many seconds, and requests keep going to an endpoint that is about to end. The
 * endpoint's own answer and the peers' word count as well; an endpoint is back only when no source names it.
 */
public final class LeavingEndpoints {
    private final Map<LeavingSource, Set<String>> bySource = new EnumMap<>(LeavingSource.class);

    /** A source's whole present set. */
    public void replace(LeavingSource source, Set<String> endpoints) {
        bySource.put(source, new HashSet<>(endpoints));
    }

    /** A source's word on one endpoint. */
    public void update(LeavingSource source, String endpoint, boolean leaving) {
        Set<String> endpoints = bySource.computeIfAbsent(source, key -> new HashSet<>());
        if (leaving) {
            endpoints.add(endpoint);
        } else {
            endpoints.remove(endpoint);
        }
    }

    /** All endpoints that some source names. */
    public Set<String> all() {
        Set<String> union = new HashSet<>();
        bySource.values().forEach(union::addAll);
        return union;
    }

    /** What this host knows at first hand, to tell its peers; hearsay isn't passed on, or it would never end. */
    public Set<String> firstHand() {
        Set<String> union = new HashSet<>();
        bySource.forEach((source, endpoints) -> {
            if (source != LeavingSource.PEER) {
                union.addAll(endpoints);
            }
        });
        return union;
    }
}
