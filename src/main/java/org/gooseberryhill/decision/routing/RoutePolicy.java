package org.gooseberryhill.decision.routing;

import java.util.Optional;

/** Chooses an endpoint among those of a service. */
public interface RoutePolicy {
    /** The endpoint for a request; empty if none is eligible. */
    Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos);
}
