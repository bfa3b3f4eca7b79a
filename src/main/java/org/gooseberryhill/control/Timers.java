package org.gooseberryhill.control;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Tasks that wait for their time. Not thread-safe.
 *
 * <p>Invariant: tasks come out in the order of their times, those of one time in the order in which they came in.
 */
final class Timers {
    private static final Comparator<Timer> ORDER =
            Comparator.comparingLong(Timer::dueNanos).thenComparingLong(Timer::number);

    private final Queue<Timer> waiting = new PriorityQueue<>(ORDER);
    private final long originNanos;
    private long added;

    /** No tasks yet; times are compared as distances from a time that lies before all of them. */
    Timers(long originNanos) {
        this.originNanos = originNanos;
    }

    /** Adds a task that is due at a time. */
    void add(long dueNanos, Runnable task) {
        waiting.add(new Timer(dueNanos - originNanos, added++, task));
    }

    /** Takes out the next task that is due by a time; empty if there is none. */
    Optional<Runnable> takeDue(long nowNanos) {
        Timer next = waiting.peek();
        if (next == null || next.dueNanos > nowNanos - originNanos) {
            return Optional.empty();
        }
        return Optional.of(waiting.poll().task);
    }

    /** How long it is until the next task is due; negative if it is late, the greatest number if there is none. */
    long nanosToNext(long nowNanos) {
        Timer next = waiting.peek();
        return next == null ? Long.MAX_VALUE : next.dueNanos - (nowNanos - originNanos);
    }

    /** A task, its time after the origin and its place among those that came in. */
    private record Timer(long dueNanos, long number, Runnable task) {}
}
