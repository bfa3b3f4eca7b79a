package org.gooseberryhill.http;

import org.gooseberryhill.decision.drain.PlannedStop;

/** Applies the phases of the planned stop of a process to a server. Stateless. */
public final class ServerShutdown {
    private ServerShutdown() {}

    /** Applies a phase to a server. Idempotent; called repeatedly until the stop is over. */
    public static void applyPhase(HttpServer server, PlannedStop.Phase phase) {
        switch (phase) {
            case SERVING -> {
                // Connections stay open, and responses say so.
            }
            case ANNOUNCED -> server.closeAfterResponses();
            case DRAINING -> {
                server.closeAfterResponses();
                server.closeIdle();
            }
            case CLOSING, ENDED -> {
                server.closeAfterResponses();
                server.stopListening();
                server.closeIdle();
            }
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }
}
