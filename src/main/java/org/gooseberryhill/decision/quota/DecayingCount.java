package org.gooseberryhill.decision.quota;

import java.util.concurrent.TimeUnit;

/** A count in which older events weigh less, halved each three seconds. Not thread-safe. */
final class DecayingCount {
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private double value;
    private long updatedNanos;

    void add(double count, long nowNanos) {
        value = at(nowNanos) + count;
        updatedNanos = nowNanos;
    }

    /** Returns how many events a second there were of late. */
    double perSecond(long nowNanos) {
        return at(nowNanos) * Math.log(2) * TimeUnit.SECONDS.toNanos(1) / HALF_LIFE_NANOS;
    }

    double at(long nowNanos) {
        return value * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
    }
}
