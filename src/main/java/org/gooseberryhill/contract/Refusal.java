package org.gooseberryhill.contract;

import java.util.Optional;

/**
 * The final answer to a request that is given up: why, what is known of its effect, and when to come back.
 *
 * <p>Immutable. A refusal is sent at once; it is never held back to delay the caller's next try.
 *
 * @param code the reason
 * @param outcome what is known about the effect
 * @param message one sentence for a person
 * @param retryAfterMillis when another try has a chance, in milliseconds; empty if none has
 */
public record Refusal(ErrorCode code, Outcome outcome, String message, Optional<Long> retryAfterMillis) {
    private static final long MILLIS_PER_SECOND = 1000;

    /** A refusal before any byte reached an endpoint, with no hint when to come back. */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, Outcome.NOT_RUN, message, Optional.empty());
    }

    /** A refusal before any byte reached an endpoint, with the time to come back in milliseconds. */
    public static Refusal notRun(ErrorCode code, String message, long retryAfterMillis) {
        return new Refusal(code, Outcome.NOT_RUN, message, Optional.of(retryAfterMillis));
    }

    /** A failure after some byte reached an endpoint. */
    public static Refusal mayHaveRun(ErrorCode code, String message) {
        return new Refusal(code, Outcome.MAY_HAVE_RUN, message, Optional.empty());
    }

    /** The Retry-After header's value in whole seconds, rounded up (RFC 9110, section 10.2.3). */
    public Optional<Long> retryAfterSeconds() {
        return retryAfterMillis.map(millis -> Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }
}
