package org.gooseberryhill.route;

/**
 * Bounds of what a client may send and of how long it may take. Immutable.
 *
 * @param maxHeaderBytes all headers of one request together
 * @param maxBodyBytes the body of one request
 * @param headerTimeoutMillis from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis how long a connection may be kept without a request
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    /** In force until a configuration names others: small enough for the smallest host, large enough for a batch. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000);
}
