package org.gooseberryhill.decision.dispatch;

/**
 * Lets requests wait for a share of their target latency. Stateless.
 *
 * <p>Guards against an overload in which every request waits until it is late, even those that could have been on time.
 * A refusal costs the caller only the time until its retry, which the refusal states.
 */
public final class ForecastOverloadPolicy implements OverloadPolicy {
    private final double waitShareOfTarget;

    /**
     * Creates a policy with an upper bound for the wait.
     *
     * @param waitShareOfTarget the share of the target latency that may be spent waiting; above 1 requests are served
     *     late rather than refused
     */
    public ForecastOverloadPolicy(double waitShareOfTarget) {
        this.waitShareOfTarget = waitShareOfTarget;
    }

    @Override
    public double longestWaitMillis(OverloadCase overload) {
        return Math.min(waitShareOfTarget * overload.targetLatencyMillis(), overload.remainingMillis());
    }
}
