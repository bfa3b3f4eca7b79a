package org.gooseberryhill.contract;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Whether a request that did not complete with an answer may have taken effect. Immutable and thread-safe.
 *
 * <p>Invariant: {@link #NOT_RUN} is used only when no byte of the request reached an endpoint.
 */
public enum Outcome {
    /** No byte of the request reached an endpoint; any kind of request can safely be retried. */
    NOT_RUN("not-run"),
    /** At least one byte reached an endpoint; the request may have taken effect. */
    MAY_HAVE_RUN("may-have-run");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name as written in the error response. */
    @JsonValue
    public String wireName() {
        return wireName;
    }
}
