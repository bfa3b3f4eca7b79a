package org.gooseberryhill.decision.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.zone.AvailabilityZone;

/** Counts what happens in a replay. Not thread-safe. */
final class ReplayCounts {
    private static final long RUN_MILLIS = 750;
    private static final long SHORT_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Messages between hosts. */
    int messages;

    /** Requests sent to an endpoint. */
    int sent;

    /** Times in milliseconds at which requests were sent to an endpoint of another zone. */
    final List<Long> crossedMillis = new ArrayList<>();

    /** Requests sent to another zone within the run time of one that the other zone has sent in the opposite direction. */
    int crossedBothWays;

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

    private final Map<List<AvailabilityZone>, Long> lastCrossedMillis = new HashMap<>();

    /** Counts a request that a host sends to an endpoint. */
    void sent(AvailabilityZone from, AvailabilityZone to, long nowMillis) {
        sent++;
        if (from.equals(to)) {
            return;
        }
        crossedMillis.add(nowMillis);
        Long opposite = lastCrossedMillis.get(List.of(to, from));
        crossedBothWays += opposite != null && nowMillis - opposite < RUN_MILLIS ? 1 : 0;
        lastCrossedMillis.put(List.of(from, to), nowMillis);
    }

    double crossedShare() {
        return (double) crossedMillis.size() / sent;
    }

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
