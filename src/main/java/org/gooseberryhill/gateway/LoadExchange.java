package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Exchanges reports of the requests in flight at endpoints with the other gateways. For the control thread.
 *
 * <p>Changes are reported within some tens of milliseconds, several of them together; the report is repeated each second,
 * which also shows that the host is alive.
 */
final class LoadExchange {
    /** Changes within this time are sent together; a service with some hundred requests per second gets a few meanwhile. */
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

    /** Schedules a report after a change of this host's requests in flight. */
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

    /** Sends a report to all gateways, whose replies show that they are alive, and removes hosts that are silent. */
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

    /** Records the report of another host. */
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
