package org.gooseberryhill.decision.routing;

import java.util.Optional;

/** Chooses the endpoint of a service that gets a request. */
public interface RoutePolicy {
    /** Returns the endpoint for a request, or empty if none is eligible. */
    Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos);
}
