package org.gooseberryhill.decision.requestbatch;

import java.util.Comparator;
import java.util.List;

/**
 * Orders items by the due time of their batch and, among equal ones, those with output first; the baseline to compare
 * other orders with. Stateless.
 */
public final class EarliestDueOrder implements ItemOrder {
    private static final Comparator<DueItem> ORDER = Comparator.comparingLong(DueItem::untilDueMillis)
            .thenComparing(dueItem -> !dueItem.item().hasOutput());

    @Override
    public List<DueItem> sorted(List<DueItem> items) {
        return items.stream().sorted(ORDER).toList();
    }
}
