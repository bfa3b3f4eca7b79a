package org.gooseberryhill.entry;

import org.gooseberryhill.process.HostProcess;

/**
 * What the parts of the entry program share. Immutable; its parts say how they may be used.
 *
 * @param process the common part of the process
 * @param settings the program's settings
 * @param traffic what is shared with other hosts about online work
 * @param access tells callers
 * @param metrics the metrics
 */
record EntryContext(
        HostProcess process,
        EntrySettings settings,
        OnlineTraffic traffic,
        AccessControl access,
        EntryMetrics metrics) {}
