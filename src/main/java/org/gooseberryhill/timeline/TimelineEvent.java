package org.gooseberryhill.timeline;

import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * One event of one process. Immutable.
 *
 * @param at the hybrid timestamp
 * @param process the process that wrote it
 * @param kind the kind's wire name, such as {@code attempt.sent}
 * @param request the request concerned, if any
 * @param job the job or request batch concerned, if any
 * @param endpoint the endpoint concerned, if any
 * @param details what decided it, how old that was, and what came of it; never a body or a key
 */
public record TimelineEvent(
        HybridTimestamp at,
        String process,
        String kind,
        Optional<String> request,
        Optional<String> job,
        Optional<String> endpoint,
        Map<String, Object> details) {
    /** A detail as text; empty if there is none of that name. */
    public String detail(String name) {
        return String.valueOf(details.getOrDefault(name, ""));
    }
}
