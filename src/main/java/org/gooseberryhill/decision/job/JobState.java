package org.gooseberryhill.decision.job;

/** The state of a job in its record. {@link #DONE} and {@link #CANCELLED} are final. */
public enum JobState {
    /** The job was accepted; items wait or run. */
    RUNNING,
    /** Every item has its completion. */
    DONE,
    /** The caller cancelled the job; no further results appear. */
    CANCELLED
}
