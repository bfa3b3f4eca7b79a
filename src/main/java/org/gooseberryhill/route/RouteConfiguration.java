package org.gooseberryhill.route;

import java.util.List;
import java.util.Map;
import org.gooseberryhill.account.ClientAccount;

/**
 * All routes and services of one configuration version. Immutable.
 *
 * @param version version number, which increases with each configuration, not always by one; 0 for the empty
 *     configuration
 * @param routes routes
 * @param services services by name
 * @param limits limits for client requests
 * @param accounts client accounts; without any, requests need no key
 */
public record RouteConfiguration(
        long version,
        List<Route> routes,
        Map<String, ServiceProperties> services,
        ClientLimits limits,
        List<ClientAccount> accounts) {
    /** Configuration in force before the first one is loaded. */
    public static final RouteConfiguration EMPTY = new RouteConfiguration(0, List.of(), Map.of(), ClientLimits.DEFAULT);

    /** Creates a configuration without client accounts. */
    public RouteConfiguration(
            long version, List<Route> routes, Map<String, ServiceProperties> services, ClientLimits limits) {
        this(version, routes, services, limits, List.of());
    }

    /** Returns whether no configuration has been loaded yet. */
    public boolean isEmpty() {
        return version == 0;
    }
}
