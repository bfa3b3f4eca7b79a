package org.gooseberryhill.decision.membership;

/**
 * The part of a host's periodic report to the other hosts that concerns the host itself. Immutable.
 *
 * @param processStart distinguishes the host's process from earlier processes on it
 * @param leaving whether the host is in a planned stop
 * @param storeReached whether the host gets answers from the key-value store
 */
public record HostReport(String processStart, boolean leaving, boolean storeReached) {}
