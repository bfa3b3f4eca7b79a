package org.gooseberryhill.load;

/**
 * The results of one run. Immutable, except for the array, which is not modified after creation.
 *
 * @param point the parameters of the run
 * @param itemsPerSecond batch items completed per second
 * @param batchTokensPerSecond tokens generated for batch items per second
 * @param firstTokenP50Millis median time to the first token of online answers, from the intended time of sending
 * @param firstTokenP95Millis 95th percentile of that time
 * @param firstTokenP99Millis 99th percentile of that time
 * @param gapP95Millis 95th percentile of the answers' mean time between tokens
 * @param plainP99Millis 99th percentile of the duration of plain calls, from the intended time of sending
 * @param ends numbers of online answers that were complete and correct (whole), complete but incorrect (wrong), truncated
 *     (cut), and refused, in this order
 */
public record RunResult(
        Experiment.Point point,
        double itemsPerSecond,
        double batchTokensPerSecond,
        double firstTokenP50Millis,
        double firstTokenP95Millis,
        double firstTokenP99Millis,
        double gapP95Millis,
        double plainP99Millis,
        int[] ends) {}
