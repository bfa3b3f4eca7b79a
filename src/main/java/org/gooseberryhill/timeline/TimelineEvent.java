package org.gooseberryhill.timeline;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * One event of one process. Immutable.
 *
 * @param at the hybrid timestamp
 * @param process the process that wrote it
 * @param kind what happened, in dotted words such as {@code request.dispatched}
 * @param request the request concerned, if any
 * @param job the job concerned as {@code caller/id}, if any
 * @param endpoint the endpoint concerned, if any
 * @param detail a short text; never a body or a key
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record TimelineEvent(
        HybridTimestamp at,
        String process,
        String kind,
        Optional<String> request,
        Optional<String> job,
        Optional<String> endpoint,
        String detail) {}
