package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.decision.coordination.ItemTiming;

/**
 * An item without a result, with the times that determine its place in the order for free slots. Immutable.
 *
 * @param batch the batch of the item
 * @param item the item
 * @param timing its times
 */
record DueItem(OwnedBatch batch, ItemProgress item, ItemTiming timing) {}
