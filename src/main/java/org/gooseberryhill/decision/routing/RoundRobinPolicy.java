package org.gooseberryhill.decision.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the eligible endpoints in turn; the baseline for comparisons. Not thread-safe. */
public final class RoundRobinPolicy implements RoutePolicy {
    private int lastIndex;

    @Override
    public Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos) {
        List<EndpointState> endpoints = pool.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            lastIndex = (lastIndex + 1) % endpoints.size();
            EndpointState candidate = endpoints.get(lastIndex);
            if (candidate.isEligible(nowNanos) && !request.tried().contains(candidate.name())) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
