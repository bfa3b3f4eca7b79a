package org.gooseberryhill.entry;

import org.gooseberryhill.process.HostProcess;

/**
 * Holds the objects that the parts of the entry program share. Immutable; each object states its own thread safety.
 *
 * @param process the part of the process that all roles have in common
 * @param settings the program's settings
 * @param traffic the state of online requests that this host exchanges with others
 * @param access authenticates callers
 * @param metrics the metrics of this process
 */
record EntryContext(
        HostProcess process,
        EntrySettings settings,
        OnlineTraffic traffic,
        AccessControl access,
        EntryMetrics metrics) {}
