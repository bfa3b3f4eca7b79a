package org.gooseberryhill.http;

/**
 * Bounds of what a server takes in. Immutable.
 *
 * @param maxHeaderBytes all headers of one request together
 * @param maxRequestLineBytes method, target and version
 * @param idleMillis how long a connection may be silent while no request is in progress
 * @param maxPendingWriteBytes what may wait for a slow reader before its connection is closed
 * @param headerMillis how long a request's head may take from its first byte, and a body from one part to the next
 */
public record HttpLimits(
        int maxHeaderBytes, int maxRequestLineBytes, int idleMillis, int maxPendingWriteBytes, int headerMillis) {
    /** The defaults that docs/OPERATIONS.md names. */
    public static final HttpLimits DEFAULT = new HttpLimits(16_384, 8_192, 60_000, 8 * 1024 * 1024, 10_000);
}
