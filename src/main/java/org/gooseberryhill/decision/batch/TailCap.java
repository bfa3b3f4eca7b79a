package org.gooseberryhill.decision.batch;

import java.util.concurrent.TimeUnit;

/**
 * Lowers the batch share of an endpoint whose online tail is beyond its target, and raises it slowly again (additive
 * increase, multiplicative decrease; Chiu and Jain, 1989). Not thread-safe.
 */
public final class TailCap {
    private static final long RAISE_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LOWER_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final int max;
    private int cap;
    private long changedNanos = Long.MIN_VALUE;

    /** A cap that starts at its maximum. */
    public TailCap(int max) {
        this.max = max;
        this.cap = max;
    }

    /** The online tail was beyond its target while this many batch items ran. */
    public void slow(int batchRunning, long nowNanos) {
        // Reports come faster than a change can show; halving for each would stop batch for one slow answer.
        if (changedNanos != Long.MIN_VALUE && nowNanos - changedNanos < LOWER_EVERY_NANOS) {
            return;
        }
        cap = Math.min(cap, batchRunning) / 2;
        changedNanos = nowNanos;
    }

    /** The cap now. */
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
