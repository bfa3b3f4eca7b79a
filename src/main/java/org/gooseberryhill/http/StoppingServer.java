package org.gooseberryhill.http;

import org.gooseberryhill.decision.drain.PlannedStop;

/** Brings a server along with the planned stop of its process. Stateless. */
public final class StoppingServer {
    private StoppingServer() {}

    /** Does what a phase of the stop asks of a server; called again and again until the stop is over. */
    public static void follow(HttpServer server, PlannedStop.Phase phase) {
        switch (phase) {
            case SERVING -> {
                // Connections stay, and answers say so.
            }
            case ANNOUNCED -> server.closeAfterAnswers();
            case DRAINING -> {
                server.closeAfterAnswers();
                server.closeIdle();
            }
            case CLOSING, ENDED -> {
                server.closeAfterAnswers();
                server.stopListening();
                server.closeIdle();
            }
            default -> throw new IllegalStateException("unknown phase " + phase);
        }
    }
}
