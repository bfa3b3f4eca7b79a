package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/**
 * Turns away at once what would wait for longer than a share of its target latency. Stateless.
 *
 * <p>Failure: under overload every request waits until it is late, and those that could have been on time are late as
 * well. A refusal costs its caller nothing but the time until it comes back, which it is told.
 */
public final class ForecastOverloadPolicy implements OverloadPolicy {
    private final double waitShareOfTarget;

    /**
     * A policy with a bound for waiting.
     *
     * @param waitShareOfTarget the share of the target latency that may be spent waiting; above 1 requests are served
     *     late rather than turned away
     */
    public ForecastOverloadPolicy(double waitShareOfTarget) {
        this.waitShareOfTarget = waitShareOfTarget;
    }

    @Override
    public Optional<Refusal> refuse(OverloadCase overload) {
        double longestMillis = Math.min(waitShareOfTarget * overload.targetLatencyMillis(), overload.leftMillis());
        if (overload.waitMillis() <= longestMillis) {
            return Optional.empty();
        }
        long backMillis = (long) Math.ceil(overload.waitMillis());
        return Optional.of(Refusal.notRun(ErrorCode.OVERLOADED, "no slot is likely to be free in time", backMillis));
    }
}
