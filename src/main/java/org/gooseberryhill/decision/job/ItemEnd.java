package org.gooseberryhill.decision.job;

/** How a run of an item at an endpoint ended. */
public enum ItemEnd {
    /** The item has its result. */
    COMPLETED,
    /** The run was stopped in favor of online requests; a later run continues from the text generated so far. */
    YIELDED,
    /** The endpoint ended the answer prematurely, which counts as a crash. */
    CRASHED,
    /** The endpoint answered with an error that a retry may resolve. */
    FAILED,
    /** The endpoint answered with an error that a retry cannot resolve. */
    REJECTED,
    /** No byte reached an endpoint; does not count as an attempt. */
    NOT_RUN
}
