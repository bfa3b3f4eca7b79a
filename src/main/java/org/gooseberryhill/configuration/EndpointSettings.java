package org.gooseberryhill.configuration;

import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * An endpoint: one runner of a model engine, or one process of a plain service. Immutable.
 *
 * @param name its name
 * @param service the service that it serves
 * @param address where it listens
 * @param zone where it runs
 * @param slots how many requests it runs at once before its answers slow down
 * @param checksFences whether it refuses an order with an old fencing number
 * @param leaving whether the operators take it out of service
 */
public record EndpointSettings(
        String name,
        String service,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean checksFences,
        boolean leaving) {}
