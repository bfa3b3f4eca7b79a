package org.gooseberryhill.decision.dispatch;

/** Baseline policy that never refuses a request because of load. Stateless. */
public final class NoOverloadPolicy implements OverloadPolicy {
    @Override
    public double longestWaitMillis(OverloadCase overload) {
        return Double.POSITIVE_INFINITY;
    }
}
