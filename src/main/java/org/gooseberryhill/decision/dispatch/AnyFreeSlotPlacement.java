package org.gooseberryhill.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Baseline placement of items that uses every free slot and prefers the endpoint with the most free slots. Stateless.
 */
public final class AnyFreeSlotPlacement implements ItemPlacement {
    @Override
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, boolean urgent, long nowNanos) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.freeSlots() > 0 && endpoint.isUsable(nowNanos))
                .max(Comparator.comparingInt(FleetEndpoint::freeSlots));
    }
}
