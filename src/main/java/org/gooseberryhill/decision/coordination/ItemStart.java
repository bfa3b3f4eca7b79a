package org.gooseberryhill.decision.coordination;

import org.gooseberryhill.directory.EndpointKey;

/**
 * A run of an item at an endpoint, as its owner reports it to the coordinator of the endpoint. Immutable.
 *
 * @param reservation the grant that the run uses; 0 if none
 * @param number the number of the run, unique for the owner's process
 * @param endpoint the endpoint
 * @param timing the times of the item when the run started; the slack of a running item does not shrink
 */
public record ItemStart(long reservation, long number, EndpointKey endpoint, ItemTiming timing) {}
