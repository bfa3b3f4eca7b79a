package org.gooseberryhill.decision.retry;

/**
 * Limits retries to a share of the first attempts, plus a burst, with a token bucket. Not thread-safe.
 *
 * <p>Without a budget, a failure of many endpoints at once makes each request be tried three times, so that the
 * remaining endpoints are overloaded by three times the normal load.
 */
public final class RetryBudget {
    private final double tokensPerRequest;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerRequest the retries earned by each first attempt, such as 0.2
     * @param maxTokens the maximum number of retries in a burst, such as 20, since a crash interrupts all requests of an
     *     endpoint at once
     */
    public RetryBudget(double tokensPerRequest, double maxTokens) {
        this.tokensPerRequest = tokensPerRequest;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Records a first attempt, which adds to the budget. */
    public void recordFirstAttempt() {
        tokens = Math.min(maxTokens, tokens + tokensPerRequest);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
