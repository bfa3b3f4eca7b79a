package org.gooseberryhill.decision.requestbatch;

import java.util.List;

/**
 * Results of a batch from a position on. Immutable.
 *
 * @param total the number of items
 * @param after the position of the first result
 * @param results the results in the order of their positions
 */
public record BatchPage(int total, int after, List<ItemResult> results) {
    /** The position after the last result. */
    public int next() {
        return after + results.size();
    }
}
