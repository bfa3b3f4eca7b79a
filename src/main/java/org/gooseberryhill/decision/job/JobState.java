package org.gooseberryhill.decision.job;

/** The state of a job in its record. Immutable; the last two are final. */
public enum JobState {
    /** Accepted; items wait or run. */
    RUNNING,
    /** Each item has its completion. */
    DONE,
    /** Cancelled by its caller; no later result appears. */
    CANCELLED
}
