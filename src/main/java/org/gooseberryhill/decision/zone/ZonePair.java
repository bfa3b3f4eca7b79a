package org.gooseberryhill.decision.zone;

import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Two zones, of which one may send requests of a service to the other. Immutable.
 *
 * @param service the service of the requests
 * @param from the zone that sends them
 * @param to the zone that takes them
 */
public record ZonePair(String service, AvailabilityZone from, AvailabilityZone to) {
    /** Returns the opposite direction. */
    ZonePair reversed() {
        return new ZonePair(service, to, from);
    }
}
