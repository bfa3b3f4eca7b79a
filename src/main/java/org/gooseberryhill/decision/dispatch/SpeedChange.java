package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.directory.EndpointKey;

/**
 * An endpoint has become slow, usual or fast. Immutable.
 *
 * @param endpoint the endpoint
 * @param from its class before
 * @param to its class now
 * @param relativeDuration expected duration of its requests relative to the mean of the service
 */
public record SpeedChange(EndpointKey endpoint, SpeedClass from, SpeedClass to, double relativeDuration) {}
