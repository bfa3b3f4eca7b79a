package org.gooseberryhill.decision.retry;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Decides whether a request is retried after a failed attempt. */
public interface RetryPolicy {
    /** Records that a request was admitted; its first attempt adds to the retry budget, if the policy has one. */
    default void recordFirstAttempt() {}

    /** Returns empty if the request may be retried at another endpoint, otherwise the refusal to return at once. */
    Optional<Refusal> giveUp(RetryCase retryCase, AttemptFailure failure);
}
