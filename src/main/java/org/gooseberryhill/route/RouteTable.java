package org.gooseberryhill.route;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: of those of its host, the one with the longest prefix. Immutable and thread-safe.
 *
 * <p>A look-up costs one hash for each slash in the path, whatever the number of routes: a configuration may grow by
 * hundreds of them and must not slow each request down.
 */
public final class RouteTable {
    /** The table of no configuration. */
    public static final RouteTable EMPTY = new RouteTable(RouteConfiguration.EMPTY);

    private final RouteConfiguration configuration;
    private final Map<String, Map<String, Route>> byHostAndPrefix = new HashMap<>();

    /** The table of a configuration. */
    public RouteTable(RouteConfiguration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            byHostAndPrefix
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /** The configuration that the table was made from. */
    public RouteConfiguration configuration() {
        return configuration;
    }

    /** The route of a request; the target may carry a query, the host a port. */
    public Optional<Route> find(String hostHeader, String target) {
        Map<String, Route> byPrefix = byHostAndPrefix.get(hostName(hostHeader));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        boolean hasPort = colon >= 0 && hostHeader.indexOf(']', colon) < 0;
        String name = hasPort ? hostHeader.substring(0, colon) : hostHeader;
        return name.toLowerCase(Locale.ROOT);
    }
}
