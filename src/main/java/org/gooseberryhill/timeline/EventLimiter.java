package org.gooseberryhill.timeline;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how many events a second are written, by kind. Not thread-safe.
 *
 * <p>Failure: under a flood of requests the lines about them take the processor from the requests. Each kind has a bound,
 * so that one flooding kind leaves the others' lines alone, and failures have a wider one than successes: a request that
 * failed must be explainable when most others did not.
 */
final class EventLimiter {
    /** Successes a second and kind: enough to see the traffic's shape; a line costs some ten microseconds. */
    static final int ROUTINE_PER_SECOND = 200;

    /** Failures a second and kind: more than one host of the planned size is offered in all. */
    static final int FAILURES_PER_SECOND = 1000;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<EventKind, Integer> written = new EnumMap<>(EventKind.class);
    private final Map<EventKind, Integer> dropped = new EnumMap<>(EventKind.class);
    private long windowNanos = Long.MIN_VALUE;

    /** Whether an event of a kind may be written now. */
    boolean mayWrite(EventKind kind, long nowNanos) {
        startWindow(nowNanos);
        int bound = kind.importance() == Importance.ROUTINE ? ROUTINE_PER_SECOND : FAILURES_PER_SECOND;
        int count = written.getOrDefault(kind, 0);
        if (count >= bound) {
            dropped.merge(kind, 1, Integer::sum);
            return false;
        }
        written.put(kind, count + 1);
        return true;
    }

    /** How many events were left out since the last call, by kind; empty within the second in which they were. */
    Map<EventKind, Integer> takeDropped(long nowNanos) {
        if (dropped.isEmpty() || nowNanos - windowNanos < WINDOW_NANOS) {
            return Map.of();
        }
        Map<EventKind, Integer> taken = new EnumMap<>(dropped);
        dropped.clear();
        return taken;
    }

    private void startWindow(long nowNanos) {
        if (windowNanos == Long.MIN_VALUE || nowNanos - windowNanos >= WINDOW_NANOS) {
            windowNanos = nowNanos;
            written.clear();
        }
    }
}
