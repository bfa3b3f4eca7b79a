package org.gooseberryhill.decision.requestbatch;

import java.util.List;

/**
 * A page of the results of a batch. Immutable.
 *
 * @param total the number of items of the batch
 * @param after the position of the first result of the page
 * @param results the results in order of position
 */
public record BatchPage(int total, int after, List<ItemResult> results) {
    /** Returns the position after the last result of the page. */
    public int next() {
        return after + results.size();
    }
}
