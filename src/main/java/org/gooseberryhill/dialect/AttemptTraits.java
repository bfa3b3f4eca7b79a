package org.gooseberryhill.dialect;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an endpoint must be told with one attempt. Immutable.
 *
 * @param endpointId the endpoint that is meant; another one at the same address must refuse
 * @param leftMillis how long the caller still waits; empty for an item, which has no deadline of its own
 * @param lastEventId the event after which the stream goes on
 * @param requestId names the request, where its own headers don't
 */
public record AttemptTraits(
        String endpointId, OptionalLong leftMillis, Optional<Long> lastEventId, Optional<String> requestId) {}
