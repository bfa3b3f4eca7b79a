package org.gooseberryhill.decision.requestbatch;

import java.util.List;

/**
 * A page of the results of a batch. Immutable.
 *
 * @param total the number of items of the batch
 * @param after the position of the first result of the page in the batch's list of results, counted from 0
 * @param results the results in the order of that list
 */
public record BatchPage(int total, int after, List<ItemResult> results) {
    /** Returns the position after the last result of the page. */
    public int next() {
        return after + results.size();
    }
}
