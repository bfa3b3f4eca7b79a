package org.gooseberryhill.gateway;

import java.util.function.Supplier;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.timeline.EventKind;

/**
 * Reports the callers' connections and requests that the HTTP server rejected by itself, and the held bytes. Confined to the control
 * thread, except for the gauges.
 */
final class RejectedConnectionsLog {
    private final GatewayContext context;
    private final HeldBytesLog heldBytesLog;
    private long loggedRefused;
    private long loggedTimedOut;

    RejectedConnectionsLog(GatewayContext context) {
        this.context = context;
        this.heldBytesLog = new HeldBytesLog(context);
    }

    /** Registers the counts of a server as metrics. */
    void addGauges(Supplier<HttpServer> server) {
        heldBytesLog.addGauges();
        context.metrics()
                .gauge(
                        "gooseberry_connections_refused",
                        "Callers' connections refused because of a limit",
                        () -> server.get().refusedConnections());
        context.metrics()
                .gauge(
                        "gooseberry_requests_timed_out",
                        "Callers' requests that did not arrive completely in time",
                        () -> server.get().timedOutRequests());
    }

    /** Logs how many were rejected since the last call, if any. */
    void write(HttpServer server) {
        heldBytesLog.write();
        long refused = server.refusedConnections();
        long timedOut = server.timedOutRequests();
        if (refused == loggedRefused && timedOut == loggedTimedOut) {
            return;
        }
        context.timeline()
                .event(EventKind.CONNECTIONS_REJECTED)
                .with("overLimit", refused - loggedRefused)
                .with("slowRequests", timedOut - loggedTimedOut)
                .with("open", server.openConnections())
                .write();
        loggedRefused = refused;
        loggedTimedOut = timedOut;
    }
}
