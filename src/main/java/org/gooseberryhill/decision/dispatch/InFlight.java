package org.gooseberryhill.decision.dispatch;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Requests that one host has in flight at one endpoint. Immutable.
 *
 * @param online requests whose callers wait
 * @param batch items of request batches
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record InFlight(int online, int batch) {
    /** Nothing in flight. */
    public static final InFlight NONE = new InFlight(0, 0);

    /** Both together. */
    public int total() {
        return online + batch;
    }
}
