package org.gooseberryhill.http;

/**
 * Limits of the connections of a server. Immutable.
 *
 * @param maxHeaderBytes maximum total size of the headers of one request
 * @param maxRequestLineBytes maximum size of method, target and version
 * @param idleTimeoutMillis how long a connection may be idle while no request is in progress, and between two parts of a
 *     body
 * @param maxPendingWriteBytes unsent bytes at which the connection of a slow reader is closed
 * @param headerTimeoutMillis maximum time for the head of a request from its first byte on
 * @param connections limits of the number of connections
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxRequestLineBytes,
        int idleTimeoutMillis,
        int maxPendingWriteBytes,
        int headerTimeoutMillis,
        ConnectionLimits connections) {
    /** The defaults, as documented in docs/OPERATIONS.md. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(16_384, 8_192, 60_000, 8 * 1024 * 1024, 10_000, ConnectionLimits.DEFAULT);
}
