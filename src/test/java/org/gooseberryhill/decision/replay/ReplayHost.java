package org.gooseberryhill.decision.replay;

import io.vavr.Lazy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.coordination.CoordinatorCommand;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.coordination.WorkReports;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.DispatchDecision;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.RequestPlacer;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quota.EqualSharesQuota;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteTable;

/**
 * A simulated gateway host, which carries out the product's decisions on requests and batch items at the replay's
 * endpoints in virtual time.
 */
final class ReplayHost {
    private static final double ONE_WAY_LATENCY_MILLIS = ReplayNetwork.ONE_WAY_LATENCY_MILLIS;
    private static final double TICK_MILLIS = 25;
    private static final double LOADS_MILLIS = 100;
    private static final double REPORT_MILLIS = 1000;
    private static final double PLACEMENT_TIMEOUT_MILLIS = 30;

    private final VirtualClock clock;
    private final ReplayNetwork network;
    private final Random random;
    private final Host self;
    private final Map<EndpointKey, ReplayEndpoint> endpoints;
    private final Fleet fleet = new Fleet();
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final WorkReports reports;
    private final DispatchCore core;
    private final ItemDispatch items;
    private final ReplayCounts counts;
    private final Map<RoutedRequest, ReplayCall> calls = new IdentityHashMap<>();
    private final Map<PlacedItem, ReplayItemRun> itemRuns = new IdentityHashMap<>();
    private final List<OwnedBatch> batches = new ArrayList<>();
    private final Map<String, Integer> eventsByItem = new HashMap<>();
    private final Consumer<OwnedBatch> onItemDone;
    private boolean itemsChanged;
    private int requestCount;

    ReplayHost(
            VirtualClock clock,
            ReplayNetwork network,
            Host self,
            Map<EndpointKey, ReplayEndpoint> endpoints,
            RouteTable routes,
            ReplayPolicies policies,
            ReplayCounts counts,
            Consumer<OwnedBatch> onItemDone) {
        this.clock = clock;
        this.network = network;
        this.self = self;
        this.random = new Random(self.id().value().hashCode());
        this.endpoints = endpoints;
        this.counts = counts;
        this.onItemDone = onItemDone;
        List<EndpointEntry> entries =
                endpoints.values().stream().map(ReplayEndpoint::entry).toList();
        fleet.updateDirectory(entries);
        routing = new GroupRouting(self);
        routing.updateEndpoints(entries);
        reports = new WorkReports(routing);
        coordinator = new SlotCoordinator(
                new RequestPlacer(policies.requests(random)),
                policies.reserve(),
                new EqualSharesQuota(),
                policies.order(),
                0);
        coordinator.updateDirectory(routing.groups(), entries);
        coordinator.shareBy(policies.shares().apply(random));
        core = new DispatchCore(
                self.zone(),
                policies.requests(random),
                fleet,
                policies.selector(routing),
                endpoint -> false,
                new CrashSuspects(60_000, 100),
                new PromptPartQuarantine());
        BatchRoutes batchRoutes = new BatchRoutes();
        batchRoutes.configure(routes);
        items = policies.items(fleet, batchRoutes);
        every(TICK_MILLIS, this::announceItems);
        every(REPORT_MILLIS, this::reportWork);
        every(LOADS_MILLIS, this::sendLoads);
    }

    void setOtherHosts(List<Host> others) {
        routing.updateHosts(others);
    }

    /** Removes a host that was found to be lost. */
    void removeHost(Host lost, List<Host> others) {
        routing.updateHosts(others);
        coordinator.removeHost(lost.id());
    }

    /** Returns the number of groups that this host coordinates. */
    long coordinatedGroups() {
        return routing.groups().all().stream().filter(routing::isCoordinator).count();
    }

    Host host() {
        return self;
    }

    /** Handles an attempt of a caller that arrives at this host. */
    void receive(ReplayCall call, Route route, long deadlineNanos) {
        String name = self.id().value() + "-" + requestCount++;
        RoutedRequest request = core.newRequest(new RoutedRequestInfo(
                name,
                route,
                ServingReplay.SERVICE,
                call.caller(),
                Optional.empty(),
                Optional.empty(),
                Lazy.of(() -> Fingerprint.of(name, new byte[0])),
                clock.nowNanos(),
                deadlineNanos));
        calls.put(request, call);
        execute(request, core.dispatch(request, clock.nowNanos()));
    }

    /** Adds a batch that this host owns, with the number of events of each item. */
    void addBatch(OwnedBatch batch, List<Integer> events) {
        batches.add(batch);
        for (int item = 0; item < events.size(); item++) {
            eventsByItem.put(batch.id() + "/i" + item, events.get(item));
        }
        itemsChanged = true;
    }

    /** Returns whether items wait for a slot. */
    boolean hasWaitingItems() {
        return !waitingItems().isEmpty();
    }

    private void every(double millis, Runnable action) {
        clock.schedule(random.nextDouble() * millis, new Runnable() {
            @Override
            public void run() {
                action.run();
                clock.schedule(millis, this);
            }
        });
    }

    private void send(HostId to, Consumer<ReplayHost> action) {
        network.send(self.id(), to, action);
    }

    private void sendToCoordinator(EndpointKey endpoint, Consumer<ReplayHost> action) {
        send(routing.coordinatorOf(endpoint).orElseThrow().id(), action);
    }

    private void execute(RoutedRequest request, DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            if (!send.assigned()) {
                EndpointKey endpoint = send.endpoint().key();
                sendToCoordinator(
                        endpoint, host -> host.coordinator.onlineStarted(self.id(), endpoint, clock.nowNanos()));
            }
            send(request, send.endpoint());
        } else if (decision instanceof DispatchDecision.AskGroup ask) {
            Host asked = routing.coordinator(ask.group());
            Runnable onAnswer = expectAnswer(request, asked);
            send(asked.id(), host -> host.place(this, request, ask, onAnswer));
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            calls.remove(request).onRefused(refuse.refusal().retryAfterMillis().orElse(0L));
        } else if (decision instanceof DispatchDecision.Wait wait) {
            clock.schedule(wait.millis(), () -> execute(request, core.dispatchAfterWait(request, clock.nowNanos())));
        }
    }

    /** Places a request without its coordinator if no answer comes in time; the result is run when the answer comes. */
    private Runnable expectAnswer(RoutedRequest request, Host asked) {
        AtomicBoolean answered = new AtomicBoolean();
        clock.schedule(PLACEMENT_TIMEOUT_MILLIS, () -> {
            if (answered.compareAndSet(false, true)) {
                routing.markUnresponsive(asked.id(), clock.nowNanos());
                execute(request, core.placeWithoutAnswer(request, clock.nowNanos()));
            }
        });
        return () -> answered.set(true);
    }

    private void place(ReplayHost asking, RoutedRequest request, DispatchDecision.AskGroup ask, Runnable onAnswer) {
        PlacementReply reply = coordinator.place(asking.self.id(), ask.group(), ask.query(), clock.nowNanos());
        assign();
        send(asking.self.id(), host -> {
            onAnswer.run();
            host.reports.reservationReceived(self.id(), reply.reservation());
            host.execute(request, host.core.placementAnswered(request, reply.answer(), clock.nowNanos()));
        });
    }

    private void assign() {
        for (CoordinatorCommand command : coordinator.assign(routing::isCoordinator, clock.nowNanos())) {
            if (command instanceof CoordinatorCommand.Grant grant) {
                send(grant.owner(), host -> host.granted(self.id(), grant));
            } else if (command instanceof CoordinatorCommand.Yield yield) {
                send(
                        yield.owner(),
                        host -> yield.runs()
                                .forEach(run -> host.items
                                        .find(run)
                                        .ifPresent(placed ->
                                                host.itemRuns.get(placed).yieldToOnline())));
            }
        }
    }

    private void granted(HostId from, CoordinatorCommand.Grant grant) {
        long reservation = grant.reservation();
        EndpointKey endpoint = grant.endpoint();
        reports.reservationReceived(from, reservation);
        EndpointEntry entry = fleet.find(endpoint).orElseThrow().entry();
        Optional<PlacedItem> placed =
                items.startAt(entry, grant.pressure(), openBatches(), clock.nowNanos(), clock.nowMillis());
        if (placed.isEmpty()) {
            counts.returnedGrants++;
            send(from, host -> {
                host.coordinator.grantReturned(self.id(), reservation, clock.nowNanos());
                host.assign();
            });
            return;
        }
        ItemStart start = new ItemStart(
                reservation, placed.get().number(), endpoint, placed.get().timing());
        send(from, host -> {
            host.coordinator.itemStarted(self.id(), start, clock.nowNanos());
            host.assign();
        });
        String itemId = placed.get().item().item().id();
        ReplayItemRun run = new ReplayItemRun(
                clock,
                counts,
                placed.get(),
                endpoints.get(endpoint),
                eventsByItem.get(placed.get().batch().id() + "/" + itemId),
                this::itemFinished);
        itemRuns.put(placed.get(), run);
        itemsChanged = true;
        clock.schedule(ONE_WAY_LATENCY_MILLIS, run::start);
    }

    private void announceItems() {
        if (!itemsChanged) {
            return;
        }
        itemsChanged = false;
        List<ItemTiming> timings = waitingItems();
        for (Host to : reports.coordinatorsOf(ServingReplay.SERVICE)) {
            WaitingItems waiting = new WaitingItems(ServingReplay.SERVICE, reports.lastReservation(to.id()), timings);
            send(to.id(), host -> {
                host.coordinator.itemsWaiting(self.id(), waiting, clock.nowNanos());
                host.assign();
            });
        }
    }

    private void reportWork() {
        reports.compose(fleet.ownInFlight(), items.starts())
                .forEach((to, work) ->
                        send(to.id(), host -> host.coordinator.report(self.id(), work, clock.nowNanos())));
        itemsChanged = true;
    }

    private void sendLoads() {
        List<GroupLoad> loads = coordinator.sampleLoads(routing::isCoordinator, clock.nowNanos());
        if (loads.isEmpty()) {
            return;
        }
        routing.groups().all().stream()
                .filter(group -> !routing.isCoordinator(group))
                .forEach(group -> send(
                        routing.coordinator(group).id(), host -> host.coordinator.groupLoads(loads, clock.nowNanos())));
        coordinator
                .shares()
                .report(clock.nowNanos())
                .ifPresent(report -> routing.coordinators().stream()
                        .filter(host -> !host.id().equals(self.id()))
                        .forEach(to -> send(
                                to.id(),
                                host -> host.coordinator.shares().record(self.id(), report, clock.nowNanos()))));
    }

    private void send(RoutedRequest request, EndpointEntry entry) {
        ReplayCall call = calls.get(request);
        ReplayEndpoint endpoint = endpoints.get(entry.key());
        ReplayEndpoint.Run run =
                new ReplayEndpoint.Run(call.promptTokens(), call.events(), new ReplayEndpoint.AnswerListener() {
                    @Override
                    public void onEvent() {
                        clock.schedule(ONE_WAY_LATENCY_MILLIS, call::onEvent);
                    }

                    @Override
                    public void onEnd() {
                        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> handleAnswer(request, entry.key()));
                    }

                    @Override
                    public void onBusy() {
                        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> handleBusy(request, entry.key()));
                    }
                });
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> endpoint.receive(run));
    }

    private void handleAnswer(RoutedRequest request, EndpointKey endpoint) {
        tellEnded(endpoint, AttemptEnd.ANSWERED, request.attemptNanos(clock.nowNanos()));
        core.attemptSucceeded(request, clock.nowNanos());
        calls.remove(request).onAnswered();
    }

    private void handleBusy(RoutedRequest request, EndpointKey endpoint) {
        tellEnded(endpoint, AttemptEnd.BUSY, 0);
        execute(request, core.attemptFailed(request, AttemptEnd.BUSY, clock.nowNanos()));
    }

    private void tellEnded(EndpointKey endpoint, AttemptEnd end, long nanos) {
        sendToCoordinator(endpoint, host -> {
            host.coordinator.onlineEnded(self.id(), endpoint, end, nanos, clock.nowNanos());
            host.assign();
        });
    }

    private List<ItemTiming> waitingItems() {
        return items.waitingItems(openBatches(), clock.nowNanos(), clock.nowMillis())
                .getOrDefault(ServingReplay.SERVICE, List.of());
    }

    private List<OwnedBatch> openBatches() {
        return batches.stream().filter(batch -> batch.openItemCount() > 0).toList();
    }

    private void itemFinished(PlacedItem placed, RunEnd end, AttemptEnd attemptEnd) {
        itemRuns.remove(placed);
        items.runEnded(placed, end, attemptEnd, clock.nowNanos());
        itemsChanged = true;
        sendToCoordinator(placed.endpoint().key(), host -> {
            host.coordinator.itemEnded(self.id(), placed.number(), attemptEnd, clock.nowNanos());
            host.assign();
        });
        if (end == RunEnd.COMPLETED) {
            onItemDone.accept(placed.batch());
        }
    }
}
