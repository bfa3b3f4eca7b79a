package org.gooseberryhill.decision.batch;

import java.util.concurrent.TimeUnit;

/**
 * Caps the batch items of an endpoint by its online tail latency, with additive increase and multiplicative decrease
 * (AIMD; Chiu and Jain, 1989). Not thread-safe.
 *
 * <p>The cap is lowered at most every 200 ms and raised by one every 500 ms, up to its maximum.
 */
public final class TailLatencyCap {
    private static final long RAISE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MIN_LOWER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final int max;
    private int cap;
    private long lastChangeNanos = Long.MIN_VALUE;

    /** Creates a cap at its maximum. */
    public TailLatencyCap(int max) {
        this.max = max;
        this.cap = max;
    }

    /**
     * Lowers the cap after the online tail latency exceeded its target, to half of the cap or of the running items,
     * whichever is smaller.
     *
     * @param batchRunning the batch items that ran meanwhile
     */
    public void recordSlow(int batchRunning, long nowNanos) {
        // Reports arrive faster than a change takes effect; halving for each would stop batch after one slow answer.
        if (lastChangeNanos != Long.MIN_VALUE && nowNanos - lastChangeNanos < MIN_LOWER_INTERVAL_NANOS) {
            return;
        }
        cap = Math.min(cap, batchRunning) / 2;
        lastChangeNanos = nowNanos;
    }

    /** Returns the current cap, after raising it for the time that has passed since its last change. */
    public int value(long nowNanos) {
        if (lastChangeNanos != Long.MIN_VALUE && cap < max) {
            long steps = (nowNanos - lastChangeNanos) / RAISE_INTERVAL_NANOS;
            if (steps > 0) {
                cap = (int) Math.min(max, cap + steps);
                lastChangeNanos += steps * RAISE_INTERVAL_NANOS;
            }
        }
        return cap;
    }
}
