package org.gooseberryhill.decision.batch;

import java.util.Collection;
import java.util.List;

/** Chooses the batch items that yield to online requests. */
public interface YieldOrder {
    /**
     * Returns the items to cancel, in this order.
     *
     * @param number the number of items to choose; nothing is chosen if it is not positive
     */
    List<RunningItem> choose(Collection<RunningItem> running, int number);
}
