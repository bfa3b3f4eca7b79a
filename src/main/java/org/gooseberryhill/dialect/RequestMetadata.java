package org.gooseberryhill.dialect;

import java.util.Optional;
import org.gooseberryhill.contract.Prompt;

/**
 * Metadata of a caller's request. Immutable.
 *
 * @param id id of this attempt of the client; endpoints return it in their answers
 * @param deadlineMillis how long the caller will wait, from the request's arrival
 * @param prompt description of the prompt; present if the request asks a model to generate tokens
 * @param lastEventId id of the last event that the caller has received, if it resumes a stream
 * @param firstRequestId id of the client attempt that brought the first event of the stream, if it resumes one
 */
public record RequestMetadata(
        Optional<String> id,
        Optional<Long> deadlineMillis,
        Optional<Prompt> prompt,
        Optional<Long> lastEventId,
        Optional<String> firstRequestId) {}
