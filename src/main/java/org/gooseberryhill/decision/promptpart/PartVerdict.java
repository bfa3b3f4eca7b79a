package org.gooseberryhill.decision.promptpart;

import java.util.Set;

/**
 * How a request must be treated because of the parts of its prompt. Immutable.
 *
 * @param kind the treatment
 * @param parts the suspected or blocked parts
 * @param retryAfterMillis the time until a blocked part may be tried again, in milliseconds; 0 for other kinds
 */
public record PartVerdict(Kind kind, Set<PromptPartKey> parts, long retryAfterMillis) {
    /** The verdict on a request without a suspected part. */
    public static final PartVerdict CLEAR = new PartVerdict(Kind.CLEAR, Set.of(), 0);

    /** Treatments, from the mildest on. */
    public enum Kind {
        /** The request runs as any other. */
        CLEAR,
        /** The request runs while no other request with its suspected parts does, if somebody can tell. */
        SUSPECT,
        /** The request runs only by a permit, at an endpoint without other such requests. */
        CONFINED,
        /** The request is refused. */
        BLOCKED
    }
}
