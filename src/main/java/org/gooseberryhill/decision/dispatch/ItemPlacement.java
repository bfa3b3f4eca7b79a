package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint where an item of a request batch starts. */
public interface ItemPlacement {
    /**
     * Returns the endpoint for an item; empty if the item has to wait.
     *
     * @param endpoints the endpoints that the item's route allows
     * @param urgent whether the item is already late or nearly late
     */
    Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, boolean urgent, long nowNanos);
}
