package org.gooseberryhill.gateway;

import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Exchanges reports of the requests in flight at endpoints with the other gateways. Confined to the control thread.
 *
 * <p>Changes are reported within some tens of milliseconds, several of them together; the report is repeated each second,
 * which also shows that the host is alive.
 */
final class LoadExchange {
    /** Changes within this time are sent together; a service with some hundred requests per second gets a few in it. */
    private static final long COALESCING_MILLIS = 25;

    private final GatewayContext context;
    private final PeerLinks links;
    private final StoreReachability storeReachability;
    private boolean reportScheduled;

    LoadExchange(GatewayContext context, PeerLinks links, StoreReachability storeReachability) {
        this.context = context;
        this.links = links;
        this.storeReachability = storeReachability;
    }

    /** Schedules a report after a change of this host's requests in flight. */
    void scheduleReport() {
        if (reportScheduled) {
            return;
        }
        reportScheduled = true;
        context.loop().after(COALESCING_MILLIS, () -> {
            reportScheduled = false;
            links.broadcast(report());
        });
    }

    /** Sends a report to all gateways, whose replies show that they are alive, and removes hosts that are silent. */
    void sendHeartbeat() {
        PeerMessage report = report();
        links.gateways()
                .forEach(host -> context.onLoop(links.ask(host, report), (reply, failure) -> {
                    if (failure == null) {
                        links.recordAnswer(host.id());
                    }
                }));
        for (HostId host : links.takeSilentHosts()) {
            context.fleet().removeReport(host);
            context.timeline()
                    .event(EventKind.PEER_SILENT)
                    .with("host", host.value())
                    .write();
        }
    }

    /** Records the report of another host. */
    void onReport(HostId from, GatewayMessage.InFlightReport report) {
        links.recordReport(from, report);
        context.fleet().updateReport(from, report.inFlight(), context.nowNanos());
    }

    private PeerMessage report() {
        boolean leaving = context.stop().phase() != PlannedStop.Phase.SERVING;
        return new GatewayMessage.InFlightReport(
                context.processStart(),
                leaving,
                storeReachability.isReachable(),
                context.fleet().ownInFlight());
    }
}
