package org.gooseberryhill.decision.requestbatch;

/** How an item ended. Immutable. */
public enum ItemState {
    /** It has its whole output. */
    DONE,
    /** It was given up for good. */
    GIVEN_UP
}
