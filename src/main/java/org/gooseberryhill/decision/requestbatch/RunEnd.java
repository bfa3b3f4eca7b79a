package org.gooseberryhill.decision.requestbatch;

/** How a run of an item ended. Immutable. */
public enum RunEnd {
    /** With its whole output. */
    COMPLETED,
    /** Given up by its owner for online work, or since the owner stops; goes on from where it was. */
    YIELDED,
    /** The endpoint broke off or went silent; goes on from where it was. */
    CUT,
    /** The endpoint answered with an error: a failed attempt. */
    ERROR_ANSWER,
    /** The endpoint answered that the item can never be done. */
    REJECTED,
    /** The endpoint did not run it. */
    NOT_RUN
}
