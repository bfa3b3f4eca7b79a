package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses an endpoint for a request among the endpoints of its service. */
public interface PlacementPolicy {
    /** Returns the endpoint for a request; empty if none is usable. */
    Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementCase placement);
}
