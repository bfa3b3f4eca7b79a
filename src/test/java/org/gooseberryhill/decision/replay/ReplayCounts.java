package org.gooseberryhill.decision.replay;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Counts what happens in a replay. Not thread-safe. */
final class ReplayCounts {
    private static final long SHORT_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Messages between hosts. */
    int messages;

    int itemRuns;
    int yieldedRuns;

    /** Runs that yielded within a second. */
    int shortRuns;

    int returnedGrants;
    int arrivals;
    int rejectedArrivals;

    /** The most items at one endpoint at a time. */
    int maxItemsAtEndpoint;

    /** Sums of samples taken while items wait. */
    long busySlotSamples;

    long slotSamples;

    void itemYielded(long ranNanos) {
        yieldedRuns++;
        if (ranNanos < SHORT_RUN_NANOS) {
            shortRuns++;
        }
    }

    double busyShare() {
        return slotSamples == 0 ? 1 : (double) busySlotSamples / slotSamples;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d messages, %d item runs, %d yielded (%d within 1 s), %d grants returned, %d of %d arrivals rejected,"
                        + " at most %d items at an endpoint, %.3f of the slots busy while items wait",
                messages,
                itemRuns,
                yieldedRuns,
                shortRuns,
                returnedGrants,
                rejectedArrivals,
                arrivals,
                maxItemsAtEndpoint,
                busyShare());
    }
}
