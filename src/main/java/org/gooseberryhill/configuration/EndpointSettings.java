package org.gooseberryhill.configuration;

import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The settings of an endpoint: one instance of a model engine, or one process of a plain service. Immutable.
 *
 * @param name the endpoint's name
 * @param service the name of the service that it serves
 * @param address the address on which it listens
 * @param zone the availability zone in which it runs
 * @param slots the number of requests that it runs concurrently before its response times rise
 * @param checksFences whether it rejects orders with an outdated fencing token
 * @param leaving whether operators are taking it out of service
 */
public record EndpointSettings(
        String name,
        String service,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean checksFences,
        boolean leaving) {}
