package org.gooseberryhill.decision.dispatch;

/**
 * A finished attempt of a request. Immutable.
 *
 * @param endpoint the id of the endpoint
 * @param end how it ended
 * @param millis its duration
 */
public record PastAttempt(String endpoint, AttemptEnd end, long millis) {
    @Override
    public String toString() {
        return endpoint + " " + end + " after " + millis + " ms";
    }
}
