package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Tells the other gateways what this host has in flight at endpoints, and takes in what they have. For the control thread.
 *
 * <p>A change is told within some tens of milliseconds, several of them together; all is told again each second, which also shows that
 * the host lives.
 */
final class LoadExchange {
    /** Changes within this time go out together; meanwhile a service of some hundred requests a second gets a few. */
    private static final long GATHER_MILLIS = 25;

    private final GatewayContext context;
    private final PeerLinks links;
    private final StoreReach reach;
    private boolean scheduled;

    LoadExchange(GatewayContext context, PeerLinks links, StoreReach reach) {
        this.context = context;
        this.links = links;
        this.reach = reach;
    }

    /** What this host has in flight has changed. */
    void changed() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        context.loop().after(GATHER_MILLIS, () -> {
            scheduled = false;
            links.tellAll(report());
        });
    }

    /** Tells all, asks for a sign of life, and forgets hosts that gave none. */
    void beat() {
        PeerMessage report = report();
        links.gateways()
                .forEach(host -> context.onLoop(links.ask(host, report), (reply, failure) -> {
                    if (failure == null) {
                        links.answered(host.id());
                    }
                }));
        for (HostId host : links.takeSilent()) {
            context.fleet().lost(host);
            context.timeline()
                    .event(EventKind.PEER_SILENT)
                    .with("host", host.value())
                    .write();
        }
    }

    /** Another host's report came. */
    void heard(HostId from, GatewayMessage.InFlightReport report) {
        links.heard(from, report);
        context.fleet().reported(from, report.inFlight(), context.nowNanos());
    }

    private PeerMessage report() {
        boolean leaving = context.stop().phase() != PlannedStop.Phase.SERVING;
        return new GatewayMessage.InFlightReport(
                context.processStart(),
                leaving,
                reach.isDirect(),
                context.fleet().own());
    }
}
