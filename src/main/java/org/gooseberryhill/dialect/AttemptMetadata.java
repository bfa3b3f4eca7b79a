package org.gooseberryhill.dialect;

import java.util.Optional;
import java.util.OptionalLong;
import org.gooseberryhill.account.Attribution;

/**
 * Metadata that an endpoint must receive with one attempt. Immutable.
 *
 * @param endpointId id of the intended endpoint; another endpoint at the same address must refuse the request
 * @param remainingMillis how long the caller still waits; empty for a batch item, which has no deadline of its own
 * @param lastEventId id of the event after which the stream continues
 * @param requestId id of the request, if its own headers do not contain one
 * @param attribution on whose behalf the request is sent
 */
public record AttemptMetadata(
        String endpointId,
        OptionalLong remainingMillis,
        Optional<Long> lastEventId,
        Optional<String> requestId,
        Attribution attribution) {}
