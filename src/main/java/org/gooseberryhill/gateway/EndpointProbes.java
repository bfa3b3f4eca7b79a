package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.dispatch.HealthChange;
import org.gooseberryhill.timeline.EventKind;

/** Probes endpoints that could not be reached, and logs changes of endpoint health. Confined to the control thread. */
final class EndpointProbes {
    /** Same as the connect timeout of a request. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final GatewayContext context;

    EndpointProbes(GatewayContext context) {
        this.context = context;
    }

    /** Probes the endpoints that are due and logs changes of health; called periodically. */
    void tick() {
        context.fleet().startDueProbes(context.nowNanos()).forEach(this::probe);
        context.fleet().takeHealthChanges().forEach(this::logHealthChange);
    }

    private void probe(FleetEndpoint endpoint) {
        context.onLoop(
                context.http().openIdleConnection(endpoint.entry().address(), CONNECT_TIMEOUT_MILLIS),
                (done, failure) -> context.fleet().probeEnded(endpoint.key(), failure == null, context.nowNanos()));
    }

    private void logHealthChange(HealthChange change) {
        context.timeline()
                .event(EventKind.ENDPOINT_HEALTH)
                .endpoint(change.endpoint().id())
                .with("leftOut", change.ejected())
                .with("cause", change.cause())
                .with("millis", change.ejectionMillis())
                .write();
    }
}
