package org.gooseberryhill.decision.requestbatch;

import java.util.List;

/** Determines the order in which the items of all batches of a host get free slots. */
public interface ItemOrder {
    /** Returns all the items in the order in which they get free slots. */
    List<DueItem> sorted(List<DueItem> items);
}
