package org.gooseberryhill.control;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * A queue of tasks that are due at given times. Not thread-safe.
 *
 * <p>Invariant: tasks are taken in the order of their due times, and those due at the same time in the order of
 * insertion.
 */
final class Timers {
    private static final Comparator<Timer> ORDER =
            Comparator.comparingLong(Timer::dueOffsetNanos).thenComparingLong(Timer::insertionNumber);

    private final Queue<Timer> queue = new PriorityQueue<>(ORDER);
    private final long originNanos;
    private long addedCount;

    /** Creates an empty queue. Times are compared as offsets from the origin, which must not be after any of them. */
    Timers(long originNanos) {
        this.originNanos = originNanos;
    }

    /** Adds a task that is due at {@code dueNanos}. */
    void add(long dueNanos, Runnable task) {
        queue.add(new Timer(dueNanos - originNanos, addedCount++, task));
    }

    /** Removes and returns the next task that is due at {@code nowNanos}; empty if there is none. */
    Optional<Runnable> takeDue(long nowNanos) {
        Timer next = queue.peek();
        if (next == null || next.dueOffsetNanos > nowNanos - originNanos) {
            return Optional.empty();
        }
        return Optional.of(queue.poll().task);
    }

    /**
     * Returns the time until the next task is due: negative if it is overdue, {@link Long#MAX_VALUE} if there is none.
     */
    long nanosUntilNextDue(long nowNanos) {
        Timer next = queue.peek();
        return next == null ? Long.MAX_VALUE : next.dueOffsetNanos - (nowNanos - originNanos);
    }

    /** A task with its due time as an offset from the origin and its insertion number. */
    private record Timer(long dueOffsetNanos, long insertionNumber, Runnable task) {}
}
