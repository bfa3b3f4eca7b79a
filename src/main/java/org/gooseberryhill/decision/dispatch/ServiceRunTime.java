package org.gooseberryhill.decision.dispatch;

import java.util.concurrent.TimeUnit;

/** Tracks the moving mean of the time that a service's online requests hold their slots. Not thread-safe. */
final class ServiceRunTime {
    /** Initial value until requests have run: between the run times of a plain call and of a generated answer. */
    private static final double INITIAL_RUN_MILLIS = 200;

    /** About the last thirty requests count: enough to smooth out single answers, few enough to follow a slowdown. */
    private static final double NEWEST_WEIGHT = 1.0 / 32;

    private final ExponentialMovingAverage runMillis = new ExponentialMovingAverage(INITIAL_RUN_MILLIS, NEWEST_WEIGHT);

    double meanRunMillis() {
        return runMillis.value();
    }

    void add(long nanos) {
        runMillis.add((double) nanos / TimeUnit.MILLISECONDS.toNanos(1));
    }
}
