package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.List;

/**
 * A page of the results of a batch. Immutable.
 *
 * @param total the number of items of the batch
 * @param after the position of the first result of the page in the batch's list of results, counted from 0
 * @param results the results in the order of that list
 */
public record BatchPage(int total, int after, List<ItemResult> results) {
    /** Bytes of a page that are not results. */
    private static final int OTHER_BYTES = 100;

    /**
     * Returns the page of a batch's results from a position on: as many as fit, but at least one if there is any.
     *
     * @param total the number of items of the batch
     * @param results all results of the batch that have a position
     * @param maxBytes the maximum size of the page as JSON
     */
    public static BatchPage of(int total, int after, List<ItemResult> results, int maxBytes) {
        List<ItemResult> page = new ArrayList<>();
        int bytes = OTHER_BYTES;
        for (int position = after; position < results.size(); position++) {
            ItemResult result = results.get(position);
            bytes += result.encodedBytes();
            if (!page.isEmpty() && bytes > maxBytes) {
                break;
            }
            page.add(result);
        }
        return new BatchPage(total, after, page);
    }

    /** Returns the position after the last result of the page. */
    public int next() {
        return after + results.size();
    }
}
