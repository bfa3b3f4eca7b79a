package org.gooseberryhill.decision.requestbatch;

/** The final state of an item. */
public enum ItemState {
    /** The item has its complete output. */
    DONE,
    /** The item was given up permanently. */
    GIVEN_UP
}
