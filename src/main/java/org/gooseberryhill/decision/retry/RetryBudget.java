package org.gooseberryhill.decision.retry;

/**
 * Limits retries to a share of the first attempts, plus a burst, with a token bucket. Not thread-safe.
 *
 * <p>Without a budget, a failure of many endpoints at once makes each request be tried three times, so that the
 * remaining endpoints are overloaded by three times the normal load.
 */
public final class RetryBudget {
    private final double share;
    private final double reserve;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param share the retries earned by each first attempt, such as 0.2
     * @param reserve the maximum number of retries in a burst, such as 20, since a crash interrupts all requests of an
     *     endpoint at once
     */
    public RetryBudget(double share, double reserve) {
        this.share = share;
        this.reserve = reserve;
        this.tokens = reserve;
    }

    /** Records a first attempt, which adds to the budget. */
    public void firstAttempt() {
        tokens = Math.min(reserve, tokens + share);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
