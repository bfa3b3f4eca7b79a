package org.gooseberryhill.decision.batch;

import java.util.concurrent.TimeUnit;

/**
 * Caps the batch items of an endpoint by its online tail latency, with additive increase and multiplicative decrease
 * (AIMD; Chiu and Jain, 1989). Not thread-safe.
 *
 * <p>The cap is halved when the tail latency exceeds its target and raised by one every 500 ms otherwise.
 */
public final class TailCap {
    private static final long RAISE_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LOWER_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final int max;
    private int cap;
    private long changedNanos = Long.MIN_VALUE;

    /** Creates a cap at its maximum. */
    public TailCap(int max) {
        this.max = max;
        this.cap = max;
    }

    /** Lowers the cap after the online tail latency exceeded its target while this many batch items ran. */
    public void slow(int batchRunning, long nowNanos) {
        // Reports arrive faster than a change takes effect; halving for each would stop batch after one slow answer.
        if (changedNanos != Long.MIN_VALUE && nowNanos - changedNanos < LOWER_EVERY_NANOS) {
            return;
        }
        cap = Math.min(cap, batchRunning) / 2;
        changedNanos = nowNanos;
    }

    /** Returns the current cap, after raising it for the time that has passed since its last change. */
    public int value(long nowNanos) {
        if (changedNanos != Long.MIN_VALUE && cap < max) {
            long steps = (nowNanos - changedNanos) / RAISE_EVERY_NANOS;
            if (steps > 0) {
                cap = (int) Math.min(max, cap + steps);
                changedNanos += steps * RAISE_EVERY_NANOS;
            }
        }
        return cap;
    }
}
