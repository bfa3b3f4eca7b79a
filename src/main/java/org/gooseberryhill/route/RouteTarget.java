package org.gooseberryhill.route;

/**
 * Service that receives a share of a route's requests. Immutable.
 *
 * @param service name of the service
 * @param weight share relative to the route's other targets; 0 or more
 */
public record RouteTarget(String service, int weight) {}
