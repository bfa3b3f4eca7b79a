package org.gooseberryhill.route;

/**
 * Limits on the size of client requests and on the time to send them. Immutable.
 *
 * @param maxHeaderBytes maximum total size of the headers of one request
 * @param maxBodyBytes maximum size of the body of one request
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis maximum time that a connection is kept open without a request
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {
    /** Limits in force until a configuration sets others: small enough for the smallest host, large enough for a batch. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000);
}
