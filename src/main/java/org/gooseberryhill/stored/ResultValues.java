package org.gooseberryhill.stored;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.link.JsonLength;

/**
 * Encodes committed results into values of a limited size, and joins what was divided. Stateless.
 *
 * <p>Invariant: only a result that alone is larger than a value is divided, and it shares no value with another one.
 */
public final class ResultValues {
    private ResultValues() {}

    /**
     * Encodes the results of one commit.
     *
     * @param results results that together fit into a value, or a single one
     * @param maxBytes the maximum size of a value
     */
    public static List<byte[]> encode(List<ItemResult> results, int maxBytes) {
        ItemResult first = results.get(0);
        if (results.size() > 1 || first.encodedBytes() <= maxBytes) {
            return List.of(StoredValueCodec.writeResults(results));
        }
        int maxPartBytes = maxBytes - new ItemResult(first.id(), first.state(), "").encodedBytes();
        List<byte[]> values = new ArrayList<>();
        int from = 0;
        while (from < first.text().length()) {
            int to = JsonLength.endOfPart(first.text(), from, maxPartBytes);
            values.add(StoredValueCodec.writeResultPart(first, first.text().substring(from, to)));
            from = to;
        }
        return values;
    }

    /** Adds the results of a value to those of the values before it; a negative number tells that it continues the last one. */
    static void append(int number, List<ItemResult> decoded, List<ItemResult> results) {
        if (number >= 0) {
            results.addAll(decoded);
            return;
        }
        ItemResult begun = results.remove(results.size() - 1);
        results.add(new ItemResult(
                begun.id(), begun.state(), begun.text() + decoded.get(0).text()));
    }
}
