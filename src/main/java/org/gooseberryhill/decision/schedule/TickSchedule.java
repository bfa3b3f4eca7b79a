package org.gooseberryhill.decision.schedule;

import java.util.concurrent.TimeUnit;

/**
 * Decides at which ticks of a thread a piece of periodic work runs. Not thread-safe.
 *
 * <p>Load pattern: a host with a small part of a core has work with periods of 100 ms to a second. A timer for each piece
 * wakes the thread two dozen times a second, and each wake-up costs more than the work of an idle host.
 *
 * <p>Invariants: over many ticks the work runs as often as its period says; two runs are at least half a period apart, also
 * after ticks that came late.
 */
public final class TickSchedule {
    private final long periodNanos;
    private final long toleranceNanos;
    private long dueNanos;

    /**
     * Creates a schedule whose work is first due one period from now.
     *
     * @param periodMillis mean time between two runs
     * @param tickMillis time between two ticks; the work runs at the tick that is nearest to the time at which it is due
     */
    public TickSchedule(long periodMillis, long tickMillis, long nowNanos) {
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.toleranceNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis) / 2;
        this.dueNanos = nowNanos + periodNanos;
    }

    /** Returns whether the work runs at this tick; called once at each tick. */
    public boolean isDue(long nowNanos) {
        if (nowNanos - dueNanos < -toleranceNanos) {
            return false;
        }
        long regular = dueNanos + periodNanos;
        long earliest = nowNanos + periodNanos / 2 + toleranceNanos;
        dueNanos = regular - earliest > 0 ? regular : earliest;
        return true;
    }
}
