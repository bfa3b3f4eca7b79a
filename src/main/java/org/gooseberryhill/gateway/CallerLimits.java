package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.memory.HeldBytesPolicy;
import org.gooseberryhill.http.ConnectionLimits;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.route.ClientLimits;

/** Derives the limits of callers' connections from the configuration and the settings. Stateless. */
final class CallerLimits {
    private static final int MAX_REQUEST_LINE_BYTES = 8192;

    private CallerLimits() {}

    static HttpLimits of(ClientLimits configured, ConnectionLimits connections, HeldBytesPolicy heldBytes) {
        return new HttpLimits(
                configured.maxHeaderBytes(),
                MAX_REQUEST_LINE_BYTES,
                configured.idleTimeoutMillis(),
                heldBytes.maxUnsentBytesPerConnection(),
                configured.headerTimeoutMillis(),
                connections);
    }
}
