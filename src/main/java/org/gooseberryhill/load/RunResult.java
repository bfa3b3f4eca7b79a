package org.gooseberryhill.load;

/**
 * The figures of one run. Immutable but for its array, which is not changed after creation.
 *
 * @param point what was varied
 * @param itemsPerSecond batch items finished a second
 * @param batchTokensPerSecond tokens of them a second
 * @param firstTokenP50Millis online first token, from the intended sending
 * @param firstTokenP95Millis online first token
 * @param firstTokenP99Millis online first token
 * @param gapP95Millis mean time between tokens of an answer
 * @param plainP99Millis plain calls
 * @param ends online answers that were whole, wrong, cut, refused
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
