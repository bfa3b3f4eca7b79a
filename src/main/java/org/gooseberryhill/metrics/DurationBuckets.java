package org.gooseberryhill.metrics;

import java.util.ArrayList;
import java.util.List;

/** How many durations fell into each of some ranges. Thread-safe. */
final class DurationBuckets {
    /** Upper bounds in seconds, the usual ones of services that answer in milliseconds to seconds; the last has none. */
    private static final double[] UPPER_BOUNDS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, Double.POSITIVE_INFINITY
    };

    private final long[] counts = new long[UPPER_BOUNDS_SECONDS.length];
    private double sumSeconds;

    /** The greatest duration of a range, in seconds. */
    static double upperBoundSeconds(int range) {
        return UPPER_BOUNDS_SECONDS[range];
    }

    synchronized void add(double seconds) {
        int range = 0;
        while (seconds > UPPER_BOUNDS_SECONDS[range]) {
            range++;
        }
        counts[range]++;
        sumSeconds += seconds;
    }

    synchronized Reading read() {
        List<Long> copy = new ArrayList<>();
        for (long count : counts) {
            copy.add(count);
        }
        return new Reading(copy, sumSeconds);
    }

    /**
     * All that is known at one time.
     *
     * @param counts how many durations fell into each range alone
     * @param sumSeconds the sum of all durations
     */
    record Reading(List<Long> counts, double sumSeconds) {}
}
