package org.gooseberryhill.dialect;

/** A call of the batch API, which gateways answer themselves instead of routing it to an endpoint. Immutable. */
public sealed interface BatchApiCall {
    /**
     * Reads the results of a request batch.
     *
     * @param batch id of the batch
     * @param firstPosition position of the first requested result in the batch's list of results, counted from 0
     * @param waitMillis maximum time that the call waits for a result
     */
    record ReadResults(String batch, int firstPosition, long waitMillis) implements BatchApiCall {}

    /**
     * Reads the body of an item that has no result yet.
     *
     * @param batch id of the batch
     * @param item id of the item
     */
    record ReadItem(String batch, String item) implements BatchApiCall {}

    /**
     * Ends a request batch.
     *
     * @param batch id of the batch
     */
    record EndBatch(String batch) implements BatchApiCall {}
}
