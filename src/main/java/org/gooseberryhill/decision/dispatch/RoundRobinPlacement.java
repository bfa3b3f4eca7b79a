package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Baseline placement that takes the usable endpoints in turn. Not thread-safe. */
public final class RoundRobinPlacement implements PlacementPolicy {
    private int lastIndex;

    @Override
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementCase placement) {
        for (int i = 0; i < endpoints.size(); i++) {
            lastIndex = (lastIndex + 1) % endpoints.size();
            FleetEndpoint candidate = endpoints.get(lastIndex);
            if (candidate.isUsable(placement.nowNanos())
                    && !placement.excluded().contains(candidate.key())) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
