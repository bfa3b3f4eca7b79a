package org.gooseberryhill.decision.continuation;

import org.gooseberryhill.directory.ServiceVersion;

/**
 * The version at which a stream began. Immutable.
 *
 * @param firstRequestId id of the client attempt that brought the first event of the stream
 * @param beganAt the version of the endpoint that sent it
 */
public record StreamOrigin(String firstRequestId, ServiceVersion beganAt) {}
