package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Baseline placement that takes the usable endpoints in turn. Not thread-safe. */
public final class RoundRobinPlacement implements PlacementPolicy {
    private int next;

    @Override
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementCase placement) {
        for (int i = 0; i < endpoints.size(); i++) {
            next = (next + 1) % endpoints.size();
            FleetEndpoint candidate = endpoints.get(next);
            if (candidate.isUsable(placement.nowNanos()) && !placement.tried().contains(candidate.key())) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
