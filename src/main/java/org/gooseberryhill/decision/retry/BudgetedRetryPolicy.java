package org.gooseberryhill.decision.retry;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;

/**
 * Retries failed requests within the caller's deadline, a maximum number of attempts and a budget. Not thread-safe.
 *
 * <p>Invariant: a request that is not idempotent is retried only if no byte of it reached an endpoint.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final RetryBudget budget;
    private final int maxAttempts;
    private final long minRemainingMillis;

    /**
     * Creates a policy.
     *
     * @param budget limits the retries of all requests together
     * @param maxAttempts the maximum number of attempts for each request, including the first
     * @param minRemainingMillis the minimum time before the deadline for a retry to have a chance, in milliseconds
     */
    public BudgetedRetryPolicy(RetryBudget budget, int maxAttempts, long minRemainingMillis) {
        this.budget = budget;
        this.maxAttempts = maxAttempts;
        this.minRemainingMillis = minRemainingMillis;
    }

    @Override
    public void recordFirstAttempt() {
        budget.recordFirstAttempt();
    }

    @Override
    public Optional<Refusal> giveUp(RetryCase retryCase, AttemptFailure failure) {
        boolean mayHaveRun = failure.outcome() == Outcome.MAY_HAVE_RUN;
        if (mayHaveRun && !retryCase.idempotent()) {
            return Optional.of(Refusal.mayHaveRun(
                    ErrorCode.ENDPOINT_FAILED, "the endpoint failed after the request was sent; it is not repeated"));
        }
        if (retryCase.answerStarted()) {
            return Optional.of(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the answer was cut"));
        }
        if (retryCase.remainingMillis() < minRemainingMillis) {
            return refusal(ErrorCode.DEADLINE_EXCEEDED, failure, "no time is left for another attempt");
        }
        if (retryCase.attempts() >= maxAttempts) {
            return refusal(ErrorCode.ENDPOINT_FAILED, failure, "all attempts failed");
        }
        if (!budget.tryAcquire()) {
            return refusal(ErrorCode.OVERLOADED, failure, "too many requests are being retried");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refusal(ErrorCode code, AttemptFailure failure, String message) {
        return Optional.of(new Refusal(code, failure.outcome(), message, Optional.of(RETRY_AFTER_MILLIS)));
    }
}
