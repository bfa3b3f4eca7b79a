package org.gooseberryhill.decision.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether this process was paused during a period. Not thread-safe.
 *
 * <p>Load pattern: a host that gets no processor for a while handles the events of all its streams late, whichever endpoints
 * they come from. The time between these events says nothing about the endpoints.
 *
 * <p>Two clocks are compared, since the monotonic clock of a suspended host stops with it.
 */
public final class ProcessPauses {
    /** Twice the period of the tick in use: shorter delays are normal on a host that may use only a part of one core. */
    private static final long MIN_PAUSE_MILLIS = 200;

    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(MIN_PAUSE_MILLIS);

    private boolean ticked;
    private long lastTickNanos;
    private long lastTickEpochMillis;
    private boolean paused;
    private long lastPauseEndNanos;

    /** Records the current time of both clocks; called ten times a second. */
    public void tick(long nowNanos, long nowEpochMillis) {
        if (isTickOverdue(nowNanos) || isSuspended(nowNanos, nowEpochMillis)) {
            paused = true;
            lastPauseEndNanos = nowNanos;
        }
        ticked = true;
        lastTickNanos = nowNanos;
        lastTickEpochMillis = nowEpochMillis;
    }

    /** Returns whether the process was paused at some time since the given one. */
    public boolean since(long fromNanos, long nowNanos) {
        return isTickOverdue(nowNanos) || (paused && lastPauseEndNanos - fromNanos >= 0);
    }

    private boolean isTickOverdue(long nowNanos) {
        return ticked && nowNanos - lastTickNanos >= MIN_PAUSE_NANOS;
    }

    private boolean isSuspended(long nowNanos, long nowEpochMillis) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastTickNanos);
        return ticked && nowEpochMillis - lastTickEpochMillis - elapsedMillis >= MIN_PAUSE_MILLIS;
    }
}
