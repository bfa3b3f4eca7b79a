package org.gooseberryhill.decision.retry;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;

/** Decides whether a failed attempt is followed by another. */
public interface RetryPolicy {
    /** A request was taken in; its first attempt adds to a budget, where there is one. */
    default void firstAttempt() {}

    /** Empty to try again on another endpoint; else the final answer, to be given at once. */
    Optional<Refusal> giveUp(RetryCase retryCase, AttemptFailure failure);
}
