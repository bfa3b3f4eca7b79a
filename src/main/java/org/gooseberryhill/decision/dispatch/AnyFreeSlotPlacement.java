package org.gooseberryhill.decision.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The baseline: items fill each free slot, the emptiest endpoint first. Stateless. */
public final class AnyFreeSlotPlacement implements ItemPlacement {
    @Override
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, boolean urgent, long nowNanos) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.freeSlots() > 0 && endpoint.isUsable(nowNanos))
                .max(Comparator.comparingInt(FleetEndpoint::freeSlots));
    }
}
