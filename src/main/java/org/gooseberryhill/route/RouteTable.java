package org.gooseberryhill.route;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.account.AccountDirectory;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix. Immutable and thread-safe.
 *
 * <p>A lookup takes one hash access per slash in the path, independent of the number of routes: a configuration may grow
 * by hundreds of routes, which must not slow down each request.
 */
public final class RouteTable {
    /** Table of the empty configuration. */
    public static final RouteTable EMPTY = new RouteTable(RouteConfiguration.EMPTY);

    private final RouteConfiguration configuration;
    private final Map<String, Map<String, Route>> byHostAndPrefix = new HashMap<>();
    private final AccountDirectory accounts;

    /** Creates the table of a configuration. */
    public RouteTable(RouteConfiguration configuration) {
        this.configuration = configuration;
        this.accounts = new AccountDirectory(configuration.accounts());
        for (Route route : configuration.routes()) {
            byHostAndPrefix
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /** Returns the configuration from which this table was created. */
    public RouteConfiguration configuration() {
        return configuration;
    }

    /** Returns the client accounts of the configuration. */
    public AccountDirectory accounts() {
        return accounts;
    }

    /** Returns whether a host has an anonymous route for request batches. */
    public boolean hasAnonymousBatches(String hostHeader) {
        Map<String, Route> byPrefix = byHostAndPrefix.getOrDefault(hostName(hostHeader), Map.of());
        return byPrefix.values().stream().anyMatch(route -> route.anonymous() && route.kind() == RouteKind.BATCH);
    }

    /** Returns the route of a request; the target may contain a query, the host header a port. */
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
