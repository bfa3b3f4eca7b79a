package org.gooseberryhill.decision.zone;

import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The start or the end of a time in which a coordinator sends requests to another zone. Immutable.
 *
 * @param service the service of the requests
 * @param from the zone of the coordinator's group
 * @param to the other zone
 * @param started whether it starts
 * @param reason why the first request was sent
 * @param waitMillis forecast wait of the first request in its own zone; 0 if no endpoint of its group could be used
 * @param costMillis cost of crossing for the first request
 * @param requests number of requests so far
 */
public record SendingChange(
        String service,
        AvailabilityZone from,
        AvailabilityZone to,
        boolean started,
        LeaveReason reason,
        long waitMillis,
        long costMillis,
        int requests) {}
