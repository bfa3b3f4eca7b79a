package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.link.JsonLength;

/**
 * The final result of an item; each item gets exactly one. Immutable.
 *
 * @param id the item's id
 * @param state how the item ended
 * @param text the data of all its events, separated by line feeds; empty if the item was given up
 */
public record ItemResult(String id, ItemState state, String text) {
    /** Bytes of everything but the id and the text; enough for the names of the fields and of the longest state. */
    private static final int OTHER_BYTES = 64;

    /** Returns an upper bound of the bytes that the result takes in a JSON list. */
    public int encodedBytes() {
        return OTHER_BYTES + JsonLength.of(id) + JsonLength.of(text);
    }
}
