package org.gooseberryhill.decision.requestbatch;

/** The ways in which a run of an item ends. */
public enum RunEnd {
    /** The run delivered the complete output. */
    COMPLETED,
    /**
     * The endpoint closed its connection after a complete event of an answer that marks its end by nothing else. The output
     * may be complete, or the endpoint was lost between two events; the item is to be resumed to find out.
     */
    UNCONFIRMED,
    /**
     * The owner cancelled the run in favor of online requests, or because the owner stops; the item is to be resumed.
     */
    YIELDED,
    /** The endpoint closed the connection or stopped sending; the item is to be resumed. */
    CUT,
    /** The endpoint answered with an error, which counts as a failed attempt. */
    ERROR_ANSWER,
    /** The endpoint answered that it will never be able to run the item. */
    REJECTED,
    /** The endpoint did not run the item. */
    NOT_RUN
}
