package org.gooseberryhill.route;

/**
 * A service that takes a share of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight its share relative to the route's other targets; 0 or more
 */
public record RouteTarget(String service, int weight) {}
