package org.gooseberryhill.decision.coordination;

import java.util.Comparator;

/**
 * Orders items by how likely a slot now lets them be done in time: those that have begun, or can still be interrupted for a
 * while; then those that any interruption makes late; then those that are late anyway. Within a class the least slack goes
 * first, of late items the earliest due. Stateless.
 *
 * <p>Load pattern: more items are due than the slots can complete in time, while online requests interrupt items in each
 * load peak. With the least slack first among all feasible items, each item in turn waits until it can't wait any longer,
 * starts, is interrupted and becomes late: most of the slots' time goes to items that earn nothing. The items that start then
 * have to be those that can bear an interruption. While the slots can complete all items in time, none is passed over.
 */
public final class FeasibleFirstOrder implements ItemOrder {
    /** Slack of an item that starts under full pressure, in run times of a whole item: about the length of a load peak. */
    private static final double MAX_MARGIN_RUNS = 1.5;

    /** Pressure from which the whole margin is needed: no order brings two thirds of the items through in time. */
    private static final double FULL_PRESSURE = 1.5;

    private static final int LIKELY = 0;
    private static final int UNLIKELY = 1;
    private static final int LATE = 2;

    @Override
    public Comparator<ItemTiming> comparator(double pressure) {
        double marginRuns = MAX_MARGIN_RUNS * Math.max(0, Math.min(1, (pressure - 1) / (FULL_PRESSURE - 1)));
        return Comparator.comparingInt((ItemTiming timing) -> likelihood(timing, marginRuns))
                .thenComparingLong(FeasibleFirstOrder::withinClass);
    }

    private static int likelihood(ItemTiming timing, double marginRuns) {
        if (!timing.isFeasible()) {
            return LATE;
        }
        boolean bearsInterruption = timing.slackMillis() >= marginRuns * timing.runMillis();
        return timing.begun() || bearsInterruption ? LIKELY : UNLIKELY;
    }

    private static long withinClass(ItemTiming timing) {
        return timing.isFeasible() ? timing.slackMillis() : timing.untilDueMillis();
    }
}
