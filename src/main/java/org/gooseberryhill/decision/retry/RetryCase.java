package org.gooseberryhill.decision.retry;

/**
 * What matters about a request whose attempt failed. Immutable.
 *
 * @param idempotent whether it may run more than once
 * @param answerStarted whether the caller has a part of the answer that another endpoint can't continue
 * @param attempts how many attempts were made
 * @param remainingMillis how long until the caller's deadline, in milliseconds
 */
public record RetryCase(boolean idempotent, boolean answerStarted, int attempts, long remainingMillis) {}
