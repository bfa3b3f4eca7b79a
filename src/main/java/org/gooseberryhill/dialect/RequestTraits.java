package org.gooseberryhill.dialect;

import java.util.Optional;
import org.gooseberryhill.contract.Prompt;

/**
 * What a caller's request says of itself. Immutable.
 *
 * @param id names this client attempt; echoed by endpoints
 * @param deadlineMillis how long the caller will wait, from the request's arrival
 * @param prompt present for a request for tokens
 * @param lastEventId the last event of the stream that the caller has, if it resumes one
 */
public record RequestTraits(
        Optional<String> id, Optional<Long> deadlineMillis, Optional<Prompt> prompt, Optional<Long> lastEventId) {}
