package org.gooseberryhill.decision.job;

/** How the run of an item ended at an endpoint. Immutable. */
public enum ItemEnd {
    /** With its result. */
    COMPLETED,
    /** Given up for online work; it goes on later, from where it was. */
    YIELDED,
    /** The endpoint broke off: counts as a crash. */
    CRASHED,
    /** The endpoint answered with an error that another try may mend. */
    FAILED,
    /** The endpoint answered that the item can never be done. */
    REJECTED,
    /** No byte reached an endpoint: not an attempt. */
    NOT_RUN
}
