package org.gooseberryhill.decision.retry;

/**
 * Bounds retries to a share of the traffic. Not thread-safe.
 *
 * <p>Failure: many endpoints fail at once, each request is tried three times, and the rest of the fleet drowns in
 * three times the load. With a budget, retries add at most the share plus the reserve.
 */
public final class RetryBudget {
    private final double share;
    private final double reserve;
    private double tokens;

    /**
     * A full budget.
     *
     * @param share retries per first attempt, such as 0.2
     * @param reserve how many retries may follow at once, such as 20: a crash cuts all requests of one endpoint
     */
    public RetryBudget(double share, double reserve) {
        this.share = share;
        this.reserve = reserve;
        this.tokens = reserve;
    }

    /** A first attempt was made. */
    public void firstAttempt() {
        tokens = Math.min(reserve, tokens + share);
    }

    /** Takes a retry from the budget, if one is left. */
    public boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
