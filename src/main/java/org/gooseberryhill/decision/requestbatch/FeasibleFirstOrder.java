package org.gooseberryhill.decision.requestbatch;

import java.util.Comparator;
import java.util.List;

/**
 * Orders items that can still be done in time first, by least slack; items that can't be done in time follow, earliest
 * due first. Stateless.
 *
 * <p>Load pattern: after an outage of all hosts for some seconds, or a burst of batches, more items are due than the
 * slots can complete in time. With the earliest due item first, each item in turn is done just after it was due, so a
 * single outage makes half a minute's worth of batches late. An item that is late anyway loses little by being later
 * still.
 */
public final class FeasibleFirstOrder implements ItemOrder {
    private static final Comparator<DueItem> ORDER =
            Comparator.comparing((DueItem dueItem) -> !dueItem.isFeasible()).thenComparing(FeasibleFirstOrder::rank);

    @Override
    public List<DueItem> sorted(List<DueItem> items) {
        return items.stream().sorted(ORDER).toList();
    }

    private static double rank(DueItem dueItem) {
        return dueItem.isFeasible() ? dueItem.slackMillis() : dueItem.untilDueMillis();
    }
}
