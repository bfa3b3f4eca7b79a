package org.gooseberryhill.decision.replay;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A virtual clock that runs scheduled actions in the order of their times; of equal times, in scheduling order. */
final class VirtualClock {
    static final long START_NANOS = TimeUnit.SECONDS.toNanos(1000);

    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();
    private long nowNanos = START_NANOS;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    void schedule(double millis, Runnable action) {
        long atNanos = nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        scheduledActions.add(new ScheduledAction(atNanos, nextSequence++, action));
    }

    /** Advances the time and runs the actions that become due. */
    void advance(double millis) {
        long untilNanos = nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        while (!scheduledActions.isEmpty() && scheduledActions.peek().atNanos <= untilNanos) {
            ScheduledAction next = scheduledActions.poll();
            nowNanos = next.atNanos;
            next.action.run();
        }
        nowNanos = untilNanos;
    }

    /** An action and the time at which it is due. */
    private record ScheduledAction(long atNanos, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
