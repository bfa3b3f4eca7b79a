package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.coordination.FluctuationReserve;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.ZoneCoordination;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.EndpointSpeeds;
import org.gooseberryhill.decision.dispatch.ObservedEndpointSpeeds;
import org.gooseberryhill.decision.dispatch.RequestPlacer;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quota.CountedSharesQuota;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.ItemQuarantine;
import org.gooseberryhill.decision.requestbatch.RestartAfterEqualWait;
import org.gooseberryhill.decision.zone.CrossingCost;
import org.gooseberryhill.decision.zone.LeaveWhenItPays;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * Creates and runs the parts of a gateway that assign the slots of endpoints: as a coordinator, as a host that asks for
 * endpoints, and as an owner of batch items. Confined to the control thread.
 */
final class SlotAssignment {
    private final ItemOrder order = new FeasibleFirstOrder();
    private final GatewayContext context;
    private final PeerLinks links;
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final LeaveWhenItPays zones;
    private final SlotExchange exchange;
    private final EndpointSpeedLog speedLog;
    private WorkAnnouncer announcer;

    SlotAssignment(GatewayContext context, PeerLinks links, GroupRouting routing, DispatchPolicies policies) {
        this.context = context;
        this.links = links;
        this.routing = routing;
        // Microseconds since the epoch grow faster than an earlier process can have used numbers.
        long firstReservation = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
        EndpointSpeeds speeds = new ObservedEndpointSpeeds();
        this.speedLog = new EndpointSpeedLog(context, speeds);
        this.zones = new LeaveWhenItPays(new CrossingCost(
                () -> context.settings().zoneCrossingPriceMillis().orElse(0L)));
        this.coordinator = new SlotCoordinator(
                new RequestPlacer(policies, speeds),
                new FluctuationReserve(),
                new CountedSharesQuota(context.settings().self().id(), context.nowNanos()),
                order,
                zones,
                firstReservation);
        this.exchange = new SlotExchange(
                context,
                links,
                routing,
                coordinator,
                new ZoneExchange(context, links, new ZoneCoordination(routing, coordinator, zones), zones));
    }

    /** Returns the exchange of messages with coordinators. */
    SlotExchange exchange() {
        return exchange;
    }

    /** Creates what runs the items of this host's batches in the slots that coordinators grant; called once. */
    BatchRunner createRunner(
            BatchRegistry registry, BatchRoutes routes, PromptPartQuarantine promptParts, GatewayTraffic traffic) {
        ItemQuarantine quarantine = new ItemQuarantine(
                promptParts, item -> ItemRun.prompt(context.dialects().traffic(), item));
        ItemDispatch items = new ItemDispatch(context.fleet(), routes, order, new RestartAfterEqualWait(), quarantine);
        announcer = new WorkAnnouncer(context, links, routing, exchange, items, registry::openBatches);
        BatchRunner runner = new BatchRunner(context, registry, routes, items, exchange, announcer, traffic);
        exchange.setGrantReceiver(runner);
        return runner;
    }

    /** Applies a new directory. */
    void endpointsChanged(Collection<EndpointEntry> entries) {
        boolean groupsChanged = routing.updateEndpoints(entries);
        coordinator.updateDirectory(routing.groups(), entries);
        zones.retain(routing.groups());
        if (groupsChanged) {
            announcer.reportAll();
        }
    }

    /** Assigns slots that have become free, and tells other coordinators of the load. Called ten times a second. */
    void tick() {
        exchange.tick();
    }

    /** Applies changes of the live hosts, and announces items that were not announced for a while. */
    void slowTick() {
        announcer.tick();
        speedLog.tick();
    }

    /** Reports all work to the coordinators. */
    void reportAll() {
        announcer.reportAll();
    }
}
