package org.gooseberryhill.contract;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What is known about the effect of a request that did not end with its answer. Immutable and thread-safe.
 *
 * <p>Invariant: {@link #NOT_RUN} is used only when no byte of the request reached an endpoint.
 */
public enum Outcome {
    /** No byte of the request reached an endpoint; sending it again is safe for every kind of request. */
    NOT_RUN("not-run"),
    /** At least one byte reached an endpoint; the request may have had its effect. */
    MAY_HAVE_RUN("may-have-run");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** The name that callers see in the error form. */
    @JsonValue
    public String wireName() {
        return wireName;
    }
}
