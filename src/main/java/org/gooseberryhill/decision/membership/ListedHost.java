package org.gooseberryhill.decision.membership;

import org.gooseberryhill.host.Host;

/**
 * An entry of the host list in the key-value store, which exists as long as the host's lease. Immutable.
 *
 * @param host the host
 * @param processStart distinguishes the host's process from earlier processes on it
 */
public record ListedHost(Host host, String processStart) {}
