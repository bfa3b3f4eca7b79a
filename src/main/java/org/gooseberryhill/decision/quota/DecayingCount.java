package org.gooseberryhill.decision.quota;

import java.util.concurrent.TimeUnit;

/** A count in which older events weigh less, halved each three seconds. Not thread-safe. */
final class DecayingCount {
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private double value;
    private long updatedNanos;

    void add(int count, long nowNanos) {
        value = at(nowNanos) + count;
        updatedNanos = nowNanos;
    }

    double at(long nowNanos) {
        return value * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    }
}
