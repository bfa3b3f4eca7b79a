package org.gooseberryhill.timeline;

import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.link.HybridTimestamp;

/**
 * One timeline event of a process. Immutable.
 *
 * @param at the hybrid logical timestamp
 * @param process the process that wrote it
 * @param kind the kind's wire name, such as {@code attempt.sent}
 * @param request the id of the request concerned, if any
 * @param job the id of the job or request batch concerned, if any
 * @param endpoint the name of the endpoint concerned, if any
 * @param details the inputs of the decision, their age and the outcome; never a body or a key
 */
public record TimelineEvent(
        HybridTimestamp at,
        String process,
        String kind,
        Optional<String> request,
        Optional<String> job,
        Optional<String> endpoint,
        Map<String, Object> details) {
    /** Returns a detail as text; an empty text if there is none of that name. */
    public String detail(String name) {
        return String.valueOf(details.getOrDefault(name, ""));
    }
}
