package org.gooseberryhill.decision.coordination;

import java.util.Comparator;

/** Decides in which order items of request batches get free slots; the last ones in it yield first. */
public interface ItemOrder {
    /**
     * Returns the order.
     *
     * @param pressure the work of the waiting items relative to what the slots can complete in time, as {@link
     *     BatchPressure} measures it; above 1 some items will be late whatever the order
     */
    Comparator<ItemTiming> comparator(double pressure);
}
