package org.gooseberryhill.decision.dispatch;

/**
 * Holds the figures by which an endpoint was chosen, for the log. Immutable.
 *
 * @param usable number of usable endpoints of the service
 * @param online number of online requests known to be in flight at the endpoint, of all hosts
 * @param batch number of items of request batches known to be in flight at the endpoint, of all hosts
 * @param slots number of slots of the endpoint
 * @param waitMillis forecast wait for a slot at the endpoint
 */
public record PlacementFacts(int usable, int online, int batch, int slots, long waitMillis) {}
