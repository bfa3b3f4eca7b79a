package org.gooseberryhill.http;

import java.nio.charset.StandardCharsets;

/**
 * Searches the parts of a body for the beginning of a status line, which may be divided between them. Used by one event loop thread.
 *
 * <p>Invariant: what is found stays found until the next body.
 */
final class StatusLineSearch {
    /** No proper suffix of it begins it, other than the empty one, so the search never steps back. */
    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private int matchedBytes;
    private boolean found;

    /** Begins the search in another body. */
    void reset() {
        matchedBytes = 0;
        found = false;
    }

    /** Searches the next part of the body. */
    void read(byte[] part) {
        for (int i = 0; i < part.length && !found; i++) {
            boolean matches = part[i] == BEGINNING[matchedBytes];
            if (!matches) {
                matchedBytes = part[i] == BEGINNING[0] ? 1 : 0;
                continue;
            }
            matchedBytes++;
            found = matchedBytes == BEGINNING.length;
        }
    }

    /** Returns whether a status line begins in the body, also if only its first bytes are in it. */
    boolean hasBegun() {
        return found || matchedBytes > 0;
    }
}
