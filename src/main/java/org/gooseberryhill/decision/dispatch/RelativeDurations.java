package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.directory.EndpointKey;

/** How long requests run at each endpoint of a service, relative to the mean of the service. */
@FunctionalInterface
public interface RelativeDurations {
    /** The same at all endpoints. */
    RelativeDurations UNIFORM = endpoint -> 1;

    /** Returns the expected duration at an endpoint relative to the service: above 1 at a slow endpoint. */
    double at(EndpointKey endpoint);
}
