package org.gooseberryhill.gateway;

import java.util.HashMap;
import java.util.Map;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/** Exchanges signs of life with the other gateways. Confined to the control thread. */
final class HostHeartbeats {
    private final GatewayContext context;
    private final PeerLinks links;
    private final StoreReachability storeReachability;
    private final SlotExchange slots;
    private final Map<HostId, String> processStarts = new HashMap<>();

    HostHeartbeats(GatewayContext context, PeerLinks links, StoreReachability storeReachability, SlotExchange slots) {
        this.context = context;
        this.links = links;
        this.storeReachability = storeReachability;
        this.slots = slots;
    }

    /** Sends a report to all gateways, whose replies show that they are alive, and removes hosts that are silent. */
    void send() {
        PeerMessage report = report();
        links.gateways()
                .forEach(host -> context.onLoop(links.ask(host, report), (reply, failure) -> {
                    if (failure == null) {
                        links.recordAnswer(host.id());
                    }
                }));
        for (HostId host : links.takeSilentHosts()) {
            slots.removeHost(host);
            context.timeline()
                    .event(EventKind.PEER_SILENT)
                    .with("host", host.value())
                    .write();
        }
    }

    /** Records the report of another host. */
    void onReport(HostId from, GatewayMessage.InFlightReport report) {
        links.recordReport(from, report);
        String earlierStart = processStarts.put(from, report.processStart());
        if (earlierStart != null && !earlierStart.equals(report.processStart())) {
            // What the earlier process of the host had in flight ended with it.
            slots.removeHost(from);
        }
    }

    private PeerMessage report() {
        boolean leaving = context.stop().phase() != PlannedStop.Phase.SERVING;
        return new GatewayMessage.InFlightReport(
                context.processStart(), leaving, storeReachability.isReachable(), Map.of());
    }
}
