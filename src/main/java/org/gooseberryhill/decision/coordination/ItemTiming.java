package org.gooseberryhill.decision.coordination;

/**
 * The times of an item of a request batch that determine its place in the order for free slots. Immutable.
 *
 * @param untilDueMillis time until its batch is due; negative if that time has passed
 * @param remainingMillis expected run time until the item is done
 * @param runMillis expected run time of a whole item
 * @param begun whether the item has output already
 */
public record ItemTiming(long untilDueMillis, long remainingMillis, long runMillis, boolean begun) {
    /** Returns how long the item can still wait and be done in time; negative if it can't be done in time. */
    public long slackMillis() {
        return untilDueMillis - remainingMillis;
    }

    /** Returns whether the item is expected to be done in time if it starts now. */
    public boolean isFeasible() {
        return slackMillis() >= 0;
    }

    /** Returns the times of the item after it has waited for some more time. */
    ItemTiming after(long millis) {
        return new ItemTiming(untilDueMillis - millis, remainingMillis, runMillis, begun);
    }
}
