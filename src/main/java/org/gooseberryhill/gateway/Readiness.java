package org.gooseberryhill.gateway;

import java.util.Map;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.timeline.EventKind;

/**
 * Tracks whether the load balancer may send new connections to this host. Confined to the control thread unless stated
 * otherwise.
 *
 * <p>Invariant: a host that is stopping never becomes ready again.
 */
final class Readiness {
    private static final int MAX_BODY_BYTES = 1024;
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final GatewayContext context;
    private final StartGate gate;
    private volatile boolean ready;

    /** Creates the readiness of a host that is not ready yet. */
    Readiness(GatewayContext context, StartGate gate) {
        this.context = context;
        this.gate = gate;
    }

    /**
     * Updates the readiness; called periodically.
     *
     * @param canRoute whether the host has loaded what it needs to route requests
     * @param stopping whether a stop was requested
     */
    void update(boolean canRoute, boolean stopping) {
        gate.tick(context.nowNanos());
        boolean nowReady = canRoute && !stopping;
        if (nowReady) {
            gate.open();
        }
        if (nowReady == ready) {
            return;
        }
        ready = nowReady;
        context.timeline()
                .event(EventKind.READINESS_CHANGED)
                .with("ready", ready)
                .with("stopping", stopping)
                .write();
    }

    /** Answers a readiness check of the load balancer; may be called from any thread. */
    RequestBodyHandler answer(HttpCall call) {
        return new BodyCollector(
                MAX_BODY_BYTES,
                body -> call.reply(ready ? READY : NOT_READY, Map.of(), new byte[0]),
                () -> call.reply(413, Map.of(), new byte[0]));
    }
}
