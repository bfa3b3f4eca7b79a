package org.gooseberryhill.metrics;

import java.util.ArrayList;
import java.util.List;

/** Counts durations by histogram bucket. Thread-safe. */
final class DurationBuckets {
    /**
     * The inclusive upper bounds, which are common for response times from milliseconds to seconds; the last bucket is
     * unbounded.
     */
    private static final double[] UPPER_BOUNDS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, Double.POSITIVE_INFINITY
    };

    private final long[] counts = new long[UPPER_BOUNDS_SECONDS.length];
    private double sumSeconds;

    /** Returns the inclusive upper bound of a bucket, in seconds. */
    static double upperBoundSeconds(int bucket) {
        return UPPER_BOUNDS_SECONDS[bucket];
    }

    synchronized void observe(double seconds) {
        int bucket = 0;
        while (seconds > UPPER_BOUNDS_SECONDS[bucket]) {
            bucket++;
        }
        counts[bucket]++;
        sumSeconds += seconds;
    }

    synchronized Snapshot snapshot() {
        List<Long> copy = new ArrayList<>();
        for (long count : counts) {
            copy.add(count);
        }
        return new Snapshot(copy, sumSeconds);
    }

    /**
     * A consistent snapshot of the counts.
     *
     * @param counts the number of durations in each bucket, not cumulative
     * @param sumSeconds the sum of all durations
     */
    record Snapshot(List<Long> counts, double sumSeconds) {}
}
