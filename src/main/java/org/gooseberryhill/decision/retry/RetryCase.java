package org.gooseberryhill.decision.retry;

/**
 * The state of a request after a failed attempt, as input to a {@link RetryPolicy}. Immutable.
 *
 * @param idempotent whether the request may run more than once
 * @param answerStarted whether the caller already has a part of the answer that another endpoint cannot continue
 * @param attempts the number of attempts made so far
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 */
public record RetryCase(boolean idempotent, boolean answerStarted, int attempts, long remainingMillis) {}
