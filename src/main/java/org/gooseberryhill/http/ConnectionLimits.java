package org.gooseberryhill.http;

/**
 * Limits of the number of open connections of a server. Immutable.
 *
 * @param maxConnections maximum number of open connections
 * @param maxConnectionsPerAddress maximum number of open connections from one IP address; it only helps where clients
 *     connect from their own addresses rather than through a load balancer
 */
public record ConnectionLimits(int maxConnections, int maxConnectionsPerAddress) {
    /** Half of the file descriptors of a small host; endpoints and other hosts need the rest. */
    public static final int DEFAULT_MAX_CONNECTIONS = 2_000;

    /** The defaults: all connections may come from one address, since a load balancer may be in front. */
    public static final ConnectionLimits DEFAULT =
            new ConnectionLimits(DEFAULT_MAX_CONNECTIONS, DEFAULT_MAX_CONNECTIONS);
}
