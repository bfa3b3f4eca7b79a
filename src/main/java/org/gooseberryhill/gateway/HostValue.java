package org.gooseberryhill.gateway;

import org.gooseberryhill.host.Host;

/**
 * The value of a live host's key. Immutable.
 *
 * @param host the host
 * @param processStart tells its process from an earlier one
 */
record HostValue(Host host, String processStart) {}
