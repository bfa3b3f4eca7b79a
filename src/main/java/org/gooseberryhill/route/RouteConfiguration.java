package org.gooseberryhill.route;

import java.util.List;
import java.util.Map;

/**
 * All routes and services of one version. Immutable.
 *
 * @param version grows with each configuration, in uneven steps; 0 for none
 * @param routes the routes
 * @param services the services by name
 * @param limits bounds for clients
 */
public record RouteConfiguration(
        long version, List<Route> routes, Map<String, ServiceTraits> services, ClientLimits limits) {
    /** In force before the first configuration is known. */
    public static final RouteConfiguration EMPTY = new RouteConfiguration(0, List.of(), Map.of(), ClientLimits.DEFAULT);

    /** Whether there is none yet. */
    public boolean isEmpty() {
        return version == 0;
    }
}
