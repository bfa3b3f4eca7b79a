package org.gooseberryhill.contract;

import java.util.Optional;

/**
 * The final answer to a request that failed or was refused: the reason, the known outcome and when to retry.
 *
 * <p>Immutable. A refusal is sent at once; it is never delayed to slow down the caller's retries.
 *
 * @param code the reason of the refusal
 * @param outcome what is known about the effect of the request
 * @param message one human-readable sentence
 * @param retryAfterMillis the time in milliseconds after which a retry may succeed; empty if none can be given
 */
public record Refusal(ErrorCode code, Outcome outcome, String message, Optional<Long> retryAfterMillis) {
    private static final long MILLIS_PER_SECOND = 1000;

    /** Creates a refusal before any byte reached an endpoint, without a retry time. */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, Outcome.NOT_RUN, message, Optional.empty());
    }

    /** Creates a refusal before any byte reached an endpoint, with a retry time in milliseconds. */
    public static Refusal notRun(ErrorCode code, String message, long retryAfterMillis) {
        return new Refusal(code, Outcome.NOT_RUN, message, Optional.of(retryAfterMillis));
    }

    /** Creates a refusal after at least one byte reached an endpoint. */
    public static Refusal mayHaveRun(ErrorCode code, String message) {
        return new Refusal(code, Outcome.MAY_HAVE_RUN, message, Optional.empty());
    }

    /** Returns the value of the Retry-After header in whole seconds, rounded up (RFC 9110, section 10.2.3). */
    public Optional<Long> retryAfterSeconds() {
        return retryAfterMillis.map(millis -> Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }
}
