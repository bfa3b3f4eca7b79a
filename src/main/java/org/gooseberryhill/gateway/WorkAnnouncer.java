package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.CoordinationMessage;

/**
 * Reports this host's work to the coordinators of endpoints: all requests in flight once a second, the items that wait
 * when they change. Confined to the control thread.
 */
final class WorkAnnouncer {
    /** Changes within this time are announced together: the items of a batch, or the start of several items. */
    private static final long COALESCING_MILLIS = 5;

    /** The slack of waiting items shrinks by itself, and an item whose delay is over starts to wait without an event. */
    private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final GatewayContext context;
    private final PeerLinks links;
    private final GroupRouting routing;
    private final SlotExchange slots;
    private final ItemDispatch items;
    private final Supplier<Collection<OwnedBatch>> openBatches;
    private final Map<String, Set<Host>> announcedTo = new HashMap<>();
    private boolean announcementScheduled;
    private long announcedNanos;

    WorkAnnouncer(
            GatewayContext context,
            PeerLinks links,
            GroupRouting routing,
            SlotExchange slots,
            ItemDispatch items,
            Supplier<Collection<OwnedBatch>> openBatches) {
        this.context = context;
        this.links = links;
        this.routing = routing;
        this.slots = slots;
        this.items = items;
        this.openBatches = openBatches;
    }

    /** Announces the waiting items shortly, since others wait than were announced. */
    void itemsChanged() {
        if (announcementScheduled) {
            return;
        }
        announcementScheduled = true;
        context.loop().after(COALESCING_MILLIS, () -> {
            announcementScheduled = false;
            announceItems();
        });
    }

    /** Applies changes of the live hosts, and announces items that were not announced for a while; called periodically. */
    void tick() {
        updateHosts();
        boolean waiting = !announcedTo.isEmpty() || !openBatches.get().isEmpty();
        if (waiting && context.nowNanos() - announcedNanos >= REFRESH_NANOS) {
            announceItems();
        }
    }

    /** Reports all requests in flight, and the items that wait. */
    void reportAll() {
        slots.reports()
                .compose(context.fleet().ownInFlight(), items.starts())
                .forEach((coordinator, work) -> slots.send(coordinator, new CoordinationMessage.WorkReport(work)));
        announceItems();
    }

    /** Applies changes of the live hosts; new coordinators get reports at once. */
    private void updateHosts() {
        if (routing.updateHosts(links.activeGateways())) {
            reportAll();
        }
    }

    private void announceItems() {
        announcedNanos = context.nowNanos();
        Map<String, List<ItemTiming>> waiting =
                items.waitingItems(openBatches.get(), context.nowNanos(), System.currentTimeMillis());
        for (String service : Set.copyOf(announcedTo.keySet())) {
            if (!waiting.containsKey(service)) {
                announcedTo.remove(service).forEach(coordinator -> announce(coordinator, service, List.of()));
            }
        }
        waiting.forEach((service, timings) -> {
            Set<Host> coordinators = slots.reports().coordinatorsOf(service);
            announcedTo.put(service, coordinators);
            List<ItemTiming> first = timings.subList(0, Math.min(timings.size(), WaitingItems.MAX_ANNOUNCED));
            coordinators.forEach(coordinator -> announce(coordinator, service, first));
        });
    }

    private void announce(Host coordinator, String service, List<ItemTiming> timings) {
        long lastReservation = slots.reports().lastReservation(coordinator.id());
        slots.send(
                coordinator,
                new CoordinationMessage.ItemsWaiting(new WaitingItems(service, lastReservation, List.copyOf(timings))));
    }
}
