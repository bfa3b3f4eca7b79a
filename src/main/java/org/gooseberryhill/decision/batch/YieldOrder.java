package org.gooseberryhill.decision.batch;

import java.util.Collection;
import java.util.List;

/** Chooses the batch items that yield to online requests. */
public interface YieldOrder {
    /** The items to cancel, in this order. */
    List<RunningItem> choose(Collection<RunningItem> running, int number);
}
