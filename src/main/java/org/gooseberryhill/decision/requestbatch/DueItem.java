package org.gooseberryhill.decision.requestbatch;

/**
 * An item without a result, with the values that determine its place in the scheduling order. Immutable.
 *
 * @param batch the batch of the item
 * @param item the item
 * @param untilDueMillis the time until the batch is due; negative if that time has passed
 * @param remainingRunMillis the expected run time until the item is done
 */
public record DueItem(OwnedBatch batch, ItemProgress item, long untilDueMillis, double remainingRunMillis) {
    /** Returns how long the item can still wait and be done in time; negative if it can't be done in time. */
    public double slackMillis() {
        return untilDueMillis - remainingRunMillis;
    }

    /** Returns whether the item is expected to be done in time if it starts now. */
    public boolean isFeasible() {
        return slackMillis() >= 0;
    }
}
