package org.gooseberryhill.gateway;

import java.util.Locale;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.decision.memory.HeldBytesLevel;
import org.gooseberryhill.http.HeldBytes;
import org.gooseberryhill.timeline.EventKind;

/**
 * Reports the bytes that the process holds, and what was refused and closed because of them. Confined to the control thread,
 * except for the gauges.
 */
final class HeldBytesLog {
    private final GatewayContext context;
    private final HeldBytes heldBytes;
    private HeldBytesLevel loggedLevel = HeldBytesLevel.NORMAL;
    private long loggedRefused;
    private long loggedClosed;
    private long loggedClosedBytes;

    HeldBytesLog(GatewayContext context) {
        this.context = context;
        this.heldBytes = context.http().heldBytes();
    }

    /** Registers the counts as metrics. */
    void addGauges() {
        GatewayMetrics metrics = context.metrics();
        metrics.gauge("gooseberry_held_bytes", "Bytes held for callers and endpoints", heldBytes::bytes);
        metrics.gauge(
                "gooseberry_held_bytes_bound",
                "Bound of the held bytes",
                () -> heldBytes.policy().boundBytes());
        metrics.gauge("gooseberry_slow_readers", "Callers' connections with unsent bytes", heldBytes::slowReaders);
        metrics.gauge(
                "gooseberry_held_refused_requests",
                "Requests refused before their body, because of the held bytes",
                heldBytes::refusedRequests);
        metrics.gauge(
                "gooseberry_held_refused_bodies",
                "Requests refused inside their body, because of the held bytes",
                heldBytes::refusedBodies);
        for (AnswerKind kind : AnswerKind.values()) {
            metrics.gauge(
                    "gooseberry_held_closed_" + kind.name().toLowerCase(Locale.ROOT),
                    "Connections with such an answer closed because of the held bytes",
                    () -> heldBytes.closedConnections(kind));
        }
    }

    /** Logs the level if it has changed since the last call, or what was refused and closed since then, if anything. */
    void write() {
        HeldBytesLevel level = heldBytes.level();
        long refused = heldBytes.refusedRequests() + heldBytes.refusedBodies();
        long closed = 0;
        for (AnswerKind kind : AnswerKind.values()) {
            closed += heldBytes.closedConnections(kind);
        }
        if (level == loggedLevel && refused == loggedRefused && closed == loggedClosed) {
            return;
        }
        long closedBytes = heldBytes.closedBytes();
        context.timeline()
                .event(EventKind.HELD_BYTES)
                .with("level", level.name().toLowerCase(Locale.ROOT))
                .with("bytes", heldBytes.bytes())
                .with("bound", heldBytes.policy().boundBytes())
                .with("slowReaders", heldBytes.slowReaders())
                .with("refused", refused - loggedRefused)
                .with("closed", closed - loggedClosed)
                .with("closedBytes", closedBytes - loggedClosedBytes)
                .write();
        loggedLevel = level;
        loggedRefused = refused;
        loggedClosed = closed;
        loggedClosedBytes = closedBytes;
    }
}
