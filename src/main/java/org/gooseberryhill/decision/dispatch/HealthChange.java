package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.directory.EndpointKey;

/**
 * The ejection or readmission of an endpoint by the result of an attempt or probe. Immutable.
 *
 * @param endpoint the endpoint
 * @param ejected whether the endpoint is ejected and gets no new requests
 * @param cause how the attempt ended
 * @param ejectionMillis ejection time, which a success ends early; 0 after a readmission
 */
public record HealthChange(EndpointKey endpoint, boolean ejected, AttemptEnd cause, long ejectionMillis) {}
