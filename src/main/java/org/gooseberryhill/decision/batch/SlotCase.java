package org.gooseberryhill.decision.batch;

/**
 * The state of an endpoint as input to a {@link BatchSlotPolicy}. Immutable.
 *
 * @param slots the number of requests that the endpoint runs concurrently before its answers slow down
 * @param online the online requests in flight at the endpoint
 * @param weightPercent the percentage of the slots left by online requests that batch may use
 * @param tailLatencyCap the maximum number of batch items that recently kept the online tail latency within its target
 */
public record SlotCase(int slots, int online, int weightPercent, int tailLatencyCap) {}
