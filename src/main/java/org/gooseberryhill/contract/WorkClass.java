package org.gooseberryhill.contract;

/** The two classes of work that share the fleet; online goes first. Immutable. */
public enum WorkClass {
    /** Somebody waits for the answer. */
    ONLINE,
    /** Items of jobs, due much later. */
    BATCH
}
