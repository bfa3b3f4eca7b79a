package org.gooseberryhill.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Counts the requests that one host has in flight at one endpoint. Immutable.
 *
 * @param online number of online requests, whose callers wait for the answer
 * @param batch number of items of request batches
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlight(int online, int batch) {
    /** No requests in flight. */
    public static final InFlight NONE = new InFlight(0, 0);

    /** Returns the sum of both counts. */
    public int total() {
        return online + batch;
    }
}
