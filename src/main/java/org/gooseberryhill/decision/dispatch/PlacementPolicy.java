package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint of a request among those of its service. */
public interface PlacementPolicy {
    /** The endpoint for a request; empty if none is usable. */
    Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementCase placement);
}
