package org.gooseberryhill.decision.quota;

import java.util.Set;
import org.gooseberryhill.host.HostId;

/**
 * What a host that admits requests knows of the other hosts. Immutable.
 *
 * @param admitting the hosts that admit requests as well
 * @param lost the hosts that would admit requests, are registered, and are known neither to be alive nor to be stopping; they may
 *     be cut off
 * @param active the hosts that are known to be alive and not stopping
 * @param registered the hosts that are registered, alive or not
 * @param selfRegistered whether this host is certainly registered
 * @param majority whether this host hears more than half of the fleet, as far as it can tell
 */
public record FleetView(
        Set<HostId> admitting,
        Set<HostId> lost,
        Set<HostId> active,
        Set<HostId> registered,
        boolean selfRegistered,
        boolean majority) {
    /** Copies the sets. */
    public FleetView {
        admitting = Set.copyOf(admitting);
        lost = Set.copyOf(lost);
        active = Set.copyOf(active);
        registered = Set.copyOf(registered);
    }
}
