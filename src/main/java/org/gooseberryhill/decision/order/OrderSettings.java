package org.gooseberryhill.decision.order;

/**
 * Durations that bound when an order may take effect. Immutable.
 *
 * @param leaseMillis how long a host's lease lasts after its last renewal
 * @param maxOrderMillis the longest time from sending an order until it has been carried out
 */
public record OrderSettings(long leaseMillis, long maxOrderMillis) {}
