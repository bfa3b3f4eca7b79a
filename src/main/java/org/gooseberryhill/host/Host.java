package org.gooseberryhill.host;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * An entry of the host list: one process of the system. Immutable.
 *
 * @param id the identity of the process
 * @param role the role of the process
 * @param zone the availability zone in which it runs
 * @param address the address on which it listens for the peer protocol
 * @param leaving whether the platform has announced its planned stop
 */
public record Host(HostId id, Role role, AvailabilityZone zone, Address address, boolean leaving) {
    /** Returns a copy that is marked as leaving. */
    @JsonIgnore
    public Host asLeaving() {
        return new Host(id, role, zone, address, true);
    }

    // Explicit, since linking the generated methods at their first use adds some ten milliseconds to a host's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Host that
                && id.equals(that.id)
                && role == that.role
                && zone.equals(that.zone)
                && address.equals(that.address)
                && leaving == that.leaving;
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
