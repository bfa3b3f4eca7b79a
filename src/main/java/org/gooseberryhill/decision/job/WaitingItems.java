package org.gooseberryhill.decision.job;

import java.util.Comparator;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * The queue of a job's items that wait to be handed out, lowest index first; an item may have a time before which it
 * must not run. Not thread-safe.
 *
 * <p>Operations take time logarithmic in the number of waiting items. A search over all loaded items would take most of
 * an owner's processor time when most of the items are in flight.
 */
final class WaitingItems {
    private final TreeSet<Integer> ready = new TreeSet<>();
    private final PriorityQueue<Delayed> delayed =
            new PriorityQueue<>(Comparator.comparingLong(Delayed::notBeforeNanos));

    /** Adds an item that may run immediately. */
    void add(int index) {
        ready.add(index);
    }

    /** Adds an item that must not run before the given time. */
    void addDelayed(int index, long notBeforeNanos) {
        delayed.add(new Delayed(index, notBeforeNanos));
    }

    boolean hasReady(long nowNanos) {
        promote(nowNanos);
        return !ready.isEmpty();
    }

    /** Removes and returns the lowest item index that may run now. */
    OptionalInt poll(long nowNanos) {
        promote(nowNanos);
        Integer lowestIndex = ready.pollFirst();
        return lowestIndex == null ? OptionalInt.empty() : OptionalInt.of(lowestIndex);
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

    /** An item and the time before which it must not run. */
    private record Delayed(int index, long notBeforeNanos) {}
}
