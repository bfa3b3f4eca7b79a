package org.gooseberryhill.http;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the open connections of a server, in all and by client address, and refuses those beyond the limits.
 * Thread-safe.
 *
 * <p>Guards against clients that open connections until the file descriptors of the process are used up, after which it
 * reaches neither endpoints nor other hosts.
 */
final class ConnectionLimiter {
    private final Map<InetAddress, Integer> connectionsByAddress = new HashMap<>();
    private int connections;
    private long refusedCount;

    /** Counts a new connection; returns false if it exceeds a limit, and it is then not counted. */
    synchronized boolean tryAcquire(InetAddress address, ConnectionLimits limits) {
        int fromAddress = connectionsByAddress.getOrDefault(address, 0);
        if (connections >= limits.maxConnections() || fromAddress >= limits.maxConnectionsPerAddress()) {
            refusedCount++;
            return false;
        }
        connections++;
        connectionsByAddress.put(address, fromAddress + 1);
        return true;
    }

    /** Records that a counted connection is closed. */
    synchronized void release(InetAddress address) {
        connections--;
        connectionsByAddress.computeIfPresent(address, (key, count) -> count <= 1 ? null : count - 1);
    }

    /** Returns the number of connections refused so far. */
    synchronized long refusedCount() {
        return refusedCount;
    }
}
