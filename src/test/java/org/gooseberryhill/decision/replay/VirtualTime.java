package org.gooseberryhill.decision.replay;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** A virtual clock that runs scheduled actions in the order of their times; of equal times, in scheduling order. */
final class VirtualTime {
    private final PriorityQueue<Planned> planned = new PriorityQueue<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(1000);
    private long number;

    long nowNanos() {
        return nowNanos;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }

    void after(double millis, Runnable action) {
        long atNanos = nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        planned.add(new Planned(atNanos, number++, action));
    }

    /** Advances the time and runs the actions that become due. */
    void pass(double millis) {
        long untilNanos = nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
        while (!planned.isEmpty() && planned.peek().atNanos <= untilNanos) {
            Planned next = planned.poll();
            nowNanos = next.atNanos;
            next.action.run();
        }
        nowNanos = untilNanos;
    }

    /** An action and the time at which it is due. */
    private record Planned(long atNanos, long number, Runnable action) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
