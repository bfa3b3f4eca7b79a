package org.gooseberryhill.decision.job;

import java.util.Comparator;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * The items of a job that wait to be handed out, lowest index first, some of them not before a time. Not thread-safe.
 *
 * <p>Handing out costs the logarithm of what waits; a search over all open items was most of an owner's work when most
 * of them were in flight (docs/LOG.md, round 6).
 */
final class WaitingItems {
    private final TreeSet<Integer> ready = new TreeSet<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingLong(Delayed::notBeforeNanos));

    /** An item waits from now on. */
    void add(int index) {
        ready.add(index);
    }

    /** An item waits and may not run before a time. */
    void addDelayed(int index, long notBeforeNanos) {
        delayed.add(new Delayed(index, notBeforeNanos));
    }

    boolean hasReady(long nowNanos) {
        promote(nowNanos);
        return !ready.isEmpty();
    }

    /** Takes the first item that may run now. */
    OptionalInt poll(long nowNanos) {
        promote(nowNanos);
        Integer first = ready.pollFirst();
        return first == null ? OptionalInt.empty() : OptionalInt.of(first);
    }

    void clear() {
        ready.clear();
        delayed.clear();
    }

    private void promote(long nowNanos) {
        while (!delayed.isEmpty() && nowNanos - delayed.peek().notBeforeNanos >= 0) {
            ready.add(delayed.poll().index);
        }
    }

    /** An item and its time. */
    private record Delayed(int index, long notBeforeNanos) {}
}
