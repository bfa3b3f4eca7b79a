package org.gooseberryhill.dialect;

/** A call of the system's own interface beside the routes. Immutable. */
public sealed interface SystemCall {
    /**
     * Reads the results of a request batch.
     *
     * @param batch its id
     * @param after the first position asked for, from 0
     * @param waitMillis how long the call may be kept waiting for a result
     */
    record ReadResults(String batch, int after, long waitMillis) implements SystemCall {}

    /**
     * Reads the body of an item that has no result yet.
     *
     * @param batch the batch's id
     * @param item the item's id
     */
    record ReadItem(String batch, String item) implements SystemCall {}

    /**
     * Ends a request batch.
     *
     * @param batch its id
     */
    record EndBatch(String batch) implements SystemCall {}
}
