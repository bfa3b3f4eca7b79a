package org.gooseberryhill.decision.coordination;

import java.util.Comparator;
import java.util.List;
import org.gooseberryhill.decision.dispatch.ExponentialMovingAverage;

/**
 * Measures whether the slots that online requests leave free can complete the waiting items in time. Not thread-safe.
 *
 * <p>For each due time, the work of all feasible items that are due by then must fit into the slots until then; the pressure
 * is the largest ratio of both (the processor demand criterion; Baruah, Rosier and Howell, 1990).
 */
final class BatchPressure {
    /** Covers several load peaks and troughs, of some seconds each, at ten samples per second. */
    private static final double NEWEST_WEIGHT = 1.0 / 120;

    private final ExponentialMovingAverage freeSlots = new ExponentialMovingAverage(0, NEWEST_WEIGHT);
    private boolean sampled;

    /** Records the number of slots that are not used by online requests now. Called ten times a second. */
    void sampleFreeSlots(int slots) {
        if (!sampled) {
            freeSlots.reset(slots);
            sampled = true;
        }
        freeSlots.add(slots);
    }

    /** Returns the mean number of slots that online requests leave free. */
    double meanFreeSlots() {
        return freeSlots.value();
    }

    /** Returns the pressure of the given items. */
    double of(List<ItemTiming> items) {
        List<ItemTiming> feasible = items.stream()
                .filter(ItemTiming::isFeasible)
                .sorted(Comparator.comparingLong(ItemTiming::untilDueMillis))
                .toList();
        double pressure = 0;
        double workMillis = 0;
        for (ItemTiming timing : feasible) {
            workMillis += timing.remainingMillis();
            pressure = Math.max(pressure, workMillis / (Math.max(1, meanFreeSlots()) * timing.untilDueMillis()));
        }
        return pressure;
    }
}
