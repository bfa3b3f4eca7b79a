package org.gooseberryhill.decision.batch;

/**
 * What matters for the number of batch slots of an endpoint. Immutable.
 *
 * @param slots how many requests the endpoint runs at once before its answers slow down
 * @param online online requests in flight there
 * @param weightPercent how much of what online leaves batch may fill
 * @param tailCap the most batch items that kept the online tail within the class target lately
 */
public record SlotCase(int slots, int online, int weightPercent, int tailCap) {}
