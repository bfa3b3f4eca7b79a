package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.decision.coordination.CoordinatorCommand;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.LoadAnnouncements;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.WorkReports;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.decision.dispatch.ProcessPauses;
import org.gooseberryhill.decision.quota.QuotaReport;
import org.gooseberryhill.decision.share.AccountUseReport;
import org.gooseberryhill.decision.share.ShareChange;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventBuilder;
import org.gooseberryhill.timeline.EventKind;

/**
 * Exchanges messages between this host and the coordinators of endpoints, this host included. Confined to the control
 * thread.
 *
 * <p>Invariant: a coordinator that is slow or lost delays a request by {@link #placementTimeoutMillis} at most.
 */
final class SlotExchange {
    /** Share of the target latency for which a request waits for a coordinator before it is placed without it. */
    private static final double TIMEOUT_SHARE_OF_TARGET = 0.1;

    /** Several round trips between availability zones. */
    private static final long MIN_PLACEMENT_TIMEOUT_MILLIS = 15;

    private static final long MAX_PLACEMENT_TIMEOUT_MILLIS = 50;

    /** After this time a late answer is not waited for any more, not even to return the assigned slot. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final WorkReports reports;
    private final AdmissionClient admissions;
    private final LoadAnnouncements announcements = new LoadAnnouncements();
    private final Queue<ReceivedLoads> receivedLoads = new ConcurrentLinkedQueue<>();
    private final ProcessPauses pauses = new ProcessPauses();
    private final ZoneExchange zones;
    private GrantReceiver grantReceiver;

    SlotExchange(
            GatewayContext context,
            PeerLinks links,
            GroupRouting routing,
            SlotCoordinator coordinator,
            ZoneExchange zones) {
        this.zones = zones;
        this.context = context;
        this.links = links;
        this.routing = routing;
        this.coordinator = coordinator;
        this.reports = new WorkReports(routing);
        this.admissions = new AdmissionClient(context, links, routing, coordinator);
    }

    /** Sets the receiver of grants and of orders to yield. */
    void setGrantReceiver(GrantReceiver receiver) {
        grantReceiver = receiver;
    }

    /** Returns the host that is asked for endpoints of a group. */
    HostId coordinator(EndpointGroup group) {
        return routing.coordinator(group).id();
    }

    /** Asks the coordinator of a group for an endpoint; the receiver gets nothing if there is no answer in time. */
    void place(EndpointGroup group, PlacementQuery query, Consumer<Optional<PlacementAnswer>> receiver) {
        Host host = routing.coordinator(group);
        if (isSelf(host.id())) {
            processReceivedLoads();
            PlacementReply reply = coordinator.place(host.id(), group, query, context.nowNanos());
            reports.reservationReceived(host.id(), reply.reservation());
            assignSlots();
            receiver.accept(Optional.of(reply.answer()));
            return;
        }
        PendingPlacement pending = new PendingPlacement(host, receiver);
        context.onLoop(
                context.peers()
                        .ask(
                                host.address(),
                                PeerLane.CONTROL,
                                new CoordinationMessage.PlacementRequest(group, query),
                                ANSWER_TIMEOUT_MILLIS),
                pending::onReply);
        context.loop().after(placementTimeoutMillis(query), pending::onTimeout);
    }

    /** Tells the coordinator of an endpoint of a request that was sent there without its knowledge. */
    void onlineStarted(EndpointKey endpoint) {
        tell(endpoint, new CoordinationMessage.OnlineStarted(endpoint));
    }

    /** Tells the coordinator of an endpoint that a request has ended there, or that an assigned slot is not used. */
    void onlineEnded(EndpointKey endpoint, AttemptEnd end, AttemptTiming timing) {
        long nowNanos = context.nowNanos();
        boolean paused = pauses.since(nowNanos - timing.nanos(), nowNanos);
        AttemptTiming usable = paused ? AttemptTiming.ofDuration(timing.nanos()) : timing;
        tell(endpoint, new CoordinationMessage.OnlineEnded(endpoint, end, usable));
    }

    /** Tells the coordinator of an endpoint of the start or end of an item there. */
    void tell(EndpointKey endpoint, CoordinationMessage message) {
        routing.coordinatorOf(endpoint).ifPresent(host -> send(host, message));
    }

    /** Sends a message to a coordinator, if it is still known. */
    void send(HostId coordinatorId, CoordinationMessage message) {
        if (isSelf(coordinatorId)) {
            handle(coordinatorId, message);
        } else {
            links.find(coordinatorId).ifPresent(host -> send(host, message));
        }
    }

    /** Sends a message to a coordinator. */
    void send(Host host, CoordinationMessage message) {
        if (isSelf(host.id())) {
            handle(host.id(), message);
        } else {
            context.peers().post(host.address(), PeerLane.CONTROL, message);
        }
    }

    /** Returns what asks whether the quotas of client accounts allow requests. */
    AdmissionClient admissions() {
        return admissions;
    }

    /** Returns what asks the coordinators of other zones for room. */
    ZoneExchange zones() {
        return zones;
    }

    /** Returns what this host has received from coordinators, and which they are. */
    WorkReports reports() {
        return reports;
    }

    /** Assigns slots that have become free in time without a message, and tells other coordinators of the load. */
    void tick() {
        processReceivedLoads();
        pauses.tick(context.nowNanos(), System.currentTimeMillis());
        assignSlots();
        sendLoads();
        zones.tick();
    }

    /**
     * Accepts loads of another coordinator; may be called from any thread. Without quotas they take effect with the next
     * message, request or tick that may use them, since a wake-up of the control thread costs more than handling them.
     * Quotas count by the time at which a report arrives.
     */
    void receiveLoads(HostId from, CoordinationMessage.GroupLoads loads) {
        if (admissions.areQuotasInUse()) {
            context.loop().execute(() -> handle(from, loads));
        } else {
            receivedLoads.add(new ReceivedLoads(from, loads, context.nowNanos()));
        }
    }

    /** Applies the loads received since the last call. Called before any message is handled. */
    void processReceivedLoads() {
        ReceivedLoads next = receivedLoads.poll();
        while (next != null) {
            applyLoads(next.from, next.message, next.receivedNanos);
            next = receivedLoads.poll();
        }
    }

    /** Removes a lost host from the counts. */
    void removeHost(HostId host) {
        coordinator.removeHost(host);
    }

    /** Answers a host that asks for an endpoint. */
    PeerMessage answer(HostId from, CoordinationMessage.PlacementRequest request) {
        coordinator.quotas().contacted(context.nowNanos());
        PlacementReply reply = coordinator.place(from, request.group(), request.query(), context.nowNanos());
        assignSlots();
        return new CoordinationMessage.Placement(reply);
    }

    /** Handles a message without a reply. */
    void handle(HostId from, CoordinationMessage message) {
        long nowNanos = context.nowNanos();
        if (message instanceof CoordinationMessage.OnlineEnded ended) {
            coordinator.onlineEnded(from, ended.endpoint(), ended.end(), ended.timing(), nowNanos);
        } else if (message instanceof CoordinationMessage.OnlineStarted started) {
            coordinator.onlineStarted(from, started.endpoint(), nowNanos);
        } else if (message instanceof CoordinationMessage.ItemStarted started) {
            coordinator.itemStarted(from, started.start(), nowNanos);
        } else if (message instanceof CoordinationMessage.ItemEnded ended) {
            coordinator.itemEnded(from, ended.run(), ended.end(), nowNanos);
        } else if (message instanceof CoordinationMessage.GrantReturned returned) {
            coordinator.grantReturned(from, returned.reservation(), nowNanos);
        } else if (message instanceof CoordinationMessage.WorkReport report) {
            coordinator.report(from, report.work(), nowNanos);
        } else if (message instanceof CoordinationMessage.ItemsWaiting waiting) {
            coordinator.itemsWaiting(from, waiting.items(), nowNanos);
        } else if (message instanceof CoordinationMessage.GroupLoads loads) {
            applyLoads(from, loads, nowNanos);
            return;
        } else if (message instanceof CoordinationMessage.AccountUse use) {
            coordinator.shares().record(from, use.report(), nowNanos);
            return;
        } else if (message instanceof CoordinationMessage.AdmissionReturned returned) {
            coordinator.quotas().giveBack(returned.account(), nowNanos);
            return;
        } else {
            handleOrder(from, message);
            return;
        }
        assignSlots();
    }

    private void handleOrder(HostId from, CoordinationMessage message) {
        if (message instanceof CoordinationMessage.SlotGrant grant) {
            reports.reservationReceived(from, grant.reservation());
            grantReceiver.onGrant(from, grant);
        } else if (message instanceof CoordinationMessage.ItemsYield yield) {
            grantReceiver.onYield(yield.runs());
        }
    }

    private void assignSlots() {
        for (CoordinatorCommand command : coordinator.assign(routing::isCoordinator, context.nowNanos())) {
            CoordinationMessage message = toMessage(command);
            if (isSelf(command.owner())) {
                context.loop().execute(() -> handle(command.owner(), message));
            } else {
                links.find(command.owner()).ifPresent(owner -> send(owner, message));
            }
        }
    }

    private static CoordinationMessage toMessage(CoordinatorCommand command) {
        if (command instanceof CoordinatorCommand.Grant grant) {
            return new CoordinationMessage.SlotGrant(grant.reservation(), grant.endpoint(), grant.pressure());
        }
        return new CoordinationMessage.ItemsYield(((CoordinatorCommand.Yield) command).runs());
    }

    private void applyLoads(HostId from, CoordinationMessage.GroupLoads message, long receivedNanos) {
        coordinator.groupLoads(message.loads(), receivedNanos);
        coordinator.quotas().record(from, message.quotaReport(), receivedNanos);
    }

    private void sendLoads() {
        List<GroupLoad> loads = coordinator.sampleLoads(routing::isCoordinator, context.nowNanos());
        if (loads.isEmpty()) {
            return;
        }
        Set<Host> others = routing.coordinators();
        others.removeIf(host -> isSelf(host.id()));
        List<HostId> otherIds = others.stream().map(Host::id).toList();
        long nowNanos = context.nowNanos();
        coordinator.quotas().updateParticipants(otherIds, links.isInTouchWithMost(), nowNanos);
        QuotaReport report = coordinator.quotas().takeReport(nowNanos);
        sendAccountUse(others);
        boolean quotaActivity = !report.activities().isEmpty();
        if (!announcements.isDue(loads, otherIds, quotaActivity, admissions.areQuotasInUse(), nowNanos)) {
            return;
        }
        CoordinationMessage message = new CoordinationMessage.GroupLoads(loads, report);
        context.peers().postAll(others.stream().map(Host::address).toList(), PeerLane.CONTROL, message);
    }

    private void sendAccountUse(Set<Host> others) {
        Optional<AccountUseReport> report = coordinator.shares().report(context.nowNanos());
        coordinator.shares().takeChanges().forEach(this::log);
        if (report.isEmpty()) {
            return;
        }
        List<Address> receivers = links.gatewaysWithAccountUse().stream()
                .filter(others::contains)
                .map(Host::address)
                .toList();
        context.peers().postAll(receivers, PeerLane.CONTROL, new CoordinationMessage.AccountUse(report.get()));
    }

    private void log(ShareChange change) {
        EventBuilder event = context.timeline()
                .event(change.begun() ? EventKind.SHARES_EXCEEDED : EventKind.SHARES_KEPT)
                .with("service", change.service());
        if (change.begun()) {
            event.with("account", change.account())
                    .with("askedPerSecond", Math.round(change.use().askedPerSecond()))
                    .with("placedPerSecond", Math.round(change.use().placedPerSecond()))
                    .with("usualPerSecond", Math.round(change.use().usualPerSecond()))
                    .with("sharePerSecond", Math.round(change.sharePerSecond()));
        }
        event.write();
    }

    private boolean isSelf(HostId host) {
        return host.equals(context.settings().self().id());
    }

    private static long placementTimeoutMillis(PlacementQuery query) {
        long share = Math.round(TIMEOUT_SHARE_OF_TARGET * query.targetLatencyMillis());
        return Math.max(MIN_PLACEMENT_TIMEOUT_MILLIS, Math.min(MAX_PLACEMENT_TIMEOUT_MILLIS, share));
    }

    /** Receives what coordinators decide about this host's items. */
    interface GrantReceiver {
        /** Starts an item at an endpoint, or returns the grant. */
        void onGrant(HostId coordinator, CoordinationMessage.SlotGrant grant);

        /** Stops runs. */
        void onYield(List<Long> runs);
    }

    /** Loads of another coordinator, and when they were received. */
    private record ReceivedLoads(HostId from, CoordinationMessage.GroupLoads message, long receivedNanos) {}

    /** A question to a coordinator that is answered once: by its reply, or by the timeout. */
    private final class PendingPlacement {
        private final Host host;
        private final Consumer<Optional<PlacementAnswer>> receiver;
        private final long askedNanos = context.nowNanos();
        private boolean answered;

        PendingPlacement(Host host, Consumer<Optional<PlacementAnswer>> receiver) {
            this.host = host;
            this.receiver = receiver;
        }

        void onReply(PeerMessage reply, Throwable failure) {
            if (!(reply instanceof CoordinationMessage.Placement placement)) {
                giveUp(failure == null ? "no coordinator" : String.valueOf(failure.getMessage()));
                return;
            }
            routing.markResponsive(host.id());
            reports.reservationReceived(host.id(), placement.reply().reservation());
            if (!answered) {
                answered = true;
                receiver.accept(Optional.of(placement.reply().answer()));
                return;
            }
            admissions.recordLateAnswer();
            if (placement.reply().answer() instanceof PlacementAnswer.Placed placed) {
                send(
                        host,
                        new CoordinationMessage.OnlineEnded(
                                placed.endpoint(), AttemptEnd.DROPPED, AttemptTiming.ofDuration(0)));
            }
        }

        void onTimeout() {
            giveUp("no answer in time");
        }

        private void giveUp(String reason) {
            if (answered) {
                return;
            }
            answered = true;
            routing.markUnresponsive(host.id(), context.nowNanos());
            context.timeline()
                    .event(EventKind.COORDINATOR_UNANSWERED)
                    .with("host", host.id().value())
                    .with("reason", reason)
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - askedNanos))
                    .write();
            receiver.accept(Optional.empty());
        }
    }
}
