package org.gooseberryhill.decision.order;

/**
 * Times of the orders. Immutable.
 *
 * @param leaseMillis how long a host's lease lasts after its last renewal
 * @param longestOrderMillis how long an order may be on its way and carried out
 */
public record OrderSettings(long leaseMillis, long longestOrderMillis) {}
