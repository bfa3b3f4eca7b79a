package org.gooseberryhill.decision.requestbatch;

import java.util.Comparator;
import java.util.List;

/** The baseline order: items of the batch that is due first, and among those the ones that have output. Stateless. */
public final class SubmissionOrder implements ItemOrder {
    private static final Comparator<DueItem> ORDER = Comparator.comparingLong(DueItem::untilDueMillis)
            .thenComparing(due -> !due.item().hasOutput());

    @Override
    public List<DueItem> sorted(List<DueItem> items) {
        return items.stream().sorted(ORDER).toList();
    }
}
