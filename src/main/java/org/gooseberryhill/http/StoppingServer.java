package org.gooseberryhill.http;

import org.gooseberryhill.decision.drain.PlannedStop;

/** Brings a server along with the planned stop of its process. Stateless. */
public final class StoppingServer {
    private StoppingServer() {}

    /** Does what a phase of the stop asks of a server; called again and again until the stop is over. */
    public static void follow(HttpServer server, PlannedStop.Phase phase) {
        if (phase == PlannedStop.Phase.SERVING) {
            return;
        }
        server.closeAfterAnswers();
        if (phase == PlannedStop.Phase.ANNOUNCED) {
            return;
        }
        if (phase != PlannedStop.Phase.DRAINING) {
            server.stopListening();
        }
        server.closeIdle();
    }
}
