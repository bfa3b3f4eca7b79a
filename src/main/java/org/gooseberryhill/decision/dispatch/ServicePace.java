package org.gooseberryhill.decision.dispatch;

import java.util.concurrent.TimeUnit;

/** The mean time that a service's online requests hold their slots, newer ones weighing more. Not thread-safe. */
final class ServicePace {
    /** Until some requests have run: between a plain call and a generated answer. */
    private static final double INITIAL_RUN_MILLIS = 200;

    /** About the last thirty requests count: enough to smooth single answers, few enough to follow a slow-down. */
    private static final double NEWEST_WEIGHT = 1.0 / 32;

    private final MovingMean runMillis = new MovingMean(INITIAL_RUN_MILLIS, NEWEST_WEIGHT);

    double meanRunMillis() {
        return runMillis.value();
    }

    void ran(long nanos) {
        runMillis.add((double) nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
}
