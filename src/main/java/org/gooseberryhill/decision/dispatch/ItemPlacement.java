package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint where an item of a request batch starts now. */
public interface ItemPlacement {
    /**
     * The endpoint for an item; empty if it has to wait.
     *
     * @param endpoints the endpoints that the item's route allows
     * @param urgent whether the item is late already, or nearly so
     */
    Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, boolean urgent, long nowNanos);
}
