package org.gooseberryhill.gateway;

import org.gooseberryhill.http.ConnectionLimits;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.route.ClientLimits;

/** Derives the limits of callers' connections from the configuration and the settings. Stateless. */
final class CallerLimits {
    private static final int MAX_REQUEST_LINE_BYTES = 8192;
    private static final int MAX_PENDING_WRITE_BYTES = 4 * 1024 * 1024;

    private CallerLimits() {}

    static HttpLimits of(ClientLimits configured, ConnectionLimits connections) {
        return new HttpLimits(
                configured.maxHeaderBytes(),
                MAX_REQUEST_LINE_BYTES,
                configured.idleTimeoutMillis(),
                MAX_PENDING_WRITE_BYTES,
                configured.headerTimeoutMillis(),
                connections);
    }
}
