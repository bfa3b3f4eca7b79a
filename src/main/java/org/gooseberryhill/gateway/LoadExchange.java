package org.gooseberryhill.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;

/**
 * Tells the other gateways what this host has in flight at endpoints, and takes in what they have. For the control thread.
 *
 * <p>A change is told within milliseconds, several of them together; all is told again each second, which also shows that
 * the host lives.
 */
final class LoadExchange {
    /** Changes within this time go out together: less than a trip between zones and back, so nobody waits for it. */
    private static final long GATHER_MILLIS = 8;

    /** A host that was not heard for this long counts as having nothing in flight: three reports are missing. */
    private static final long SILENT_MILLIS = 3500;

    private final GatewayContext context;
    private final PeerLinks links;
    private final Map<HostId, Long> heardNanos = new HashMap<>();
    private boolean scheduled;

    LoadExchange(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
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
                        heardNanos.put(host.id(), context.nowNanos());
                    }
                }));
        long now = context.nowNanos();
        for (HostId host : List.copyOf(heardNanos.keySet())) {
            if (now - heardNanos.get(host) > TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS)) {
                heardNanos.remove(host);
                context.fleet().lost(host);
                context.log().record("peer.silent", "host", host.value());
            }
        }
    }

    /** Another host's report came. */
    void heard(HostId from, PeerMessage.InFlightReport report) {
        heardNanos.put(from, context.nowNanos());
        context.fleet().reported(from, report.inFlight());
    }

    private PeerMessage report() {
        boolean leaving = !context.stop().takesNew();
        return new PeerMessage.InFlightReport(
                context.processStart(), leaving, context.fleet().own());
    }
}
