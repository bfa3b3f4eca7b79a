package org.gooseberryhill.decision.coordination;

import java.util.Comparator;

/**
 * Orders items by the due time of their batch and, among equal ones, those with output first; the baseline to compare
 * other orders with. Stateless.
 */
public final class EarliestDueOrder implements ItemOrder {
    private static final Comparator<ItemTiming> ORDER =
            Comparator.comparingLong(ItemTiming::untilDueMillis).thenComparing(timing -> !timing.begun());

    @Override
    public Comparator<ItemTiming> comparator(double pressure) {
        return ORDER;
    }
}
