package org.gooseberryhill.timeline;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the number of events written per second, separately for each kind. Not thread-safe.
 *
 * <p>Guards against logging that takes CPU time from the requests at a high request rate. Each kind has its own limit,
 * so that a frequent kind does not displace the others. The limit of failures is higher than that of successes, since a
 * failed request must be explainable even if most others succeed.
 */
final class EventLimiter {
    /** The limit per kind of routine events: enough to show the traffic pattern; a line costs about 10 microseconds. */
    static final int ROUTINE_PER_SECOND = 200;

    /** The limit per kind of other events: above the total request rate offered to a host of the planned size. */
    static final int NON_ROUTINE_PER_SECOND = 1000;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<EventKind, Integer> writtenInWindow = new EnumMap<>(EventKind.class);
    private final Map<EventKind, Integer> dropped = new EnumMap<>(EventKind.class);
    private long windowStartNanos = Long.MIN_VALUE;

    /** Counts an event and returns whether it may be written now. */
    boolean tryAcquire(EventKind kind, long nowNanos) {
        startWindowIfDue(nowNanos);
        int limit = kind.importance() == Importance.ROUTINE ? ROUTINE_PER_SECOND : NON_ROUTINE_PER_SECOND;
        int count = writtenInWindow.getOrDefault(kind, 0);
        if (count >= limit) {
            dropped.merge(kind, 1, Integer::sum);
            return false;
        }
        writtenInWindow.put(kind, count + 1);
        return true;
    }

    /** Returns and clears the number of dropped events by kind; empty until the window of the drops is over. */
    Map<EventKind, Integer> drainDropped(long nowNanos) {
        if (dropped.isEmpty() || nowNanos - windowStartNanos < WINDOW_NANOS) {
            return Map.of();
        }
        Map<EventKind, Integer> drained = new EnumMap<>(dropped);
        dropped.clear();
        return drained;
    }

    private void startWindowIfDue(long nowNanos) {
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos >= WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            writtenInWindow.clear();
        }
    }
}
