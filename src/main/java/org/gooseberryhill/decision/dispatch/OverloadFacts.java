package org.gooseberryhill.decision.dispatch;

/**
 * Holds the figures by which a request was refused because of load, for the log. Immutable.
 *
 * @param waitMillis forecast wait for a slot
 * @param longestWaitMillis longest wait that was allowed
 * @param meanRunMillis mean time that a request of the service holds its slot
 */
public record OverloadFacts(long waitMillis, long longestWaitMillis, long meanRunMillis) {
    static OverloadFacts of(OverloadCase overload, double longestWaitMillis) {
        return new OverloadFacts(
                Math.round(overload.waitMillis()), Math.round(longestWaitMillis), Math.round(overload.meanRunMillis()));
    }
}
