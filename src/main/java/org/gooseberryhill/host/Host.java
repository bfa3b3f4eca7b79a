package org.gooseberryhill.host;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * One process of the system as the host list names it. Immutable.
 *
 * @param id its identity
 * @param role what it does
 * @param zone where it runs
 * @param address where its peer protocol listens
 * @param leaving whether the platform has announced its planned stop
 */
public record Host(HostId id, Role role, AvailabilityZone zone, Address address, boolean leaving) {
    /** The same host, announced as leaving. */
    @JsonIgnore
    public Host asLeaving() {
        return new Host(id, role, zone, address, true);
    }
}
