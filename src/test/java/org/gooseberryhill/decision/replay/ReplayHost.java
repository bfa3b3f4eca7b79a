package org.gooseberryhill.decision.replay;

import io.vavr.Lazy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.coordination.CoordinatorCommand;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.PlacementReply;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.coordination.WorkReports;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.DispatchDecision;
import org.gooseberryhill.decision.dispatch.EventPace;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
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
import org.gooseberryhill.decision.zone.ZonePolicy;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
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
    /** As in the product for a target latency of 300 ms. */
    private static final double PLACEMENT_TIMEOUT_MILLIS = 30;

    /** Time after which a connection to an endpoint beyond a cut link fails. */
    private static final double CONNECT_TIMEOUT_MILLIS = 100;

    private static final double TICK_MILLIS = 25;
    private static final double LOADS_MILLIS = 100;
    private static final double REPORT_MILLIS = 1000;

    private final VirtualClock clock;
    private final ReplayNetwork network;
    private final Random random;
    private final Host self;
    private final Map<EndpointKey, ReplayEndpoint> endpoints;
    private final Fleet fleet = new Fleet();
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final WorkReports reports;
    private final ReplayLoadExchange loads;
    private final DispatchCore core;
    private final ItemDispatch items;
    private final ReplayCounts counts;
    private final Map<RoutedRequest, ReplayCall> calls = new IdentityHashMap<>();
    private final Map<PlacedItem, ReplayItemRun> itemRuns = new IdentityHashMap<>();
    private final List<OwnedBatch> batches = new ArrayList<>();
    private final Map<String, Integer> eventsByItem = new HashMap<>();
    private final Consumer<OwnedBatch> onItemDone;
    private final ReplayProcess process;
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
        this.process = new ReplayProcess(clock);
        this.network = network;
        this.self = self;
        this.random = new Random(self.id().value().hashCode());
        this.endpoints = endpoints;
        this.counts = counts;
        this.onItemDone = onItemDone;
        List<EndpointEntry> entries =
                endpoints.values().stream().map(ReplayEndpoint::entry).toList();
        fleet.updateDirectory(entries);
        routing = new GroupRouting(self, policies.zones().partition());
        routing.updateEndpoints(entries);
        reports = new WorkReports(routing);
        ZonePolicy zonePolicy = policies.zones().create();
        coordinator = new SlotCoordinator(
                new RequestPlacer(policies.requests(random), policies.speeds().get()),
                policies.reserve(),
                new EqualSharesQuota(),
                policies.order(),
                zonePolicy,
                0);
        loads = new ReplayLoadExchange(clock, network, self.id(), routing, coordinator, zonePolicy);
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
        every(LOADS_MILLIS, process::tick);
        every(TICK_MILLIS, this::announceItems);
        every(REPORT_MILLIS, this::reportWork);
        every(LOADS_MILLIS, loads::send);
    }

    /** Replaces the directory. */
    void setEndpoints(List<EndpointEntry> entries) {
        fleet.updateDirectory(entries);
        routing.updateEndpoints(entries);
        coordinator.updateDirectory(routing.groups(), entries);
        reportWork();
    }

    GroupRouting routing() {
        return routing;
    }

    /** Removes a host that was found to be lost. */
    void removeHost(HostId lost, List<Host> others) {
        routing.updateHosts(others);
        coordinator.removeHost(lost);
    }

    ReplayLoadExchange loads() {
        return loads;
    }

    Host host() {
        return self;
    }

    ReplayProcess process() {
        return process;
    }

    boolean coordinates(EndpointGroup group) {
        return routing.isCoordinator(group);
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
                process.run(action);
                clock.schedule(millis, this);
            }
        });
    }

    private void send(HostId to, Consumer<ReplayHost> action) {
        network.send(self.id(), to, action);
    }

    private void sendToCoordinator(EndpointKey endpoint, Consumer<ReplayHost> action) {
        routing.coordinatorOf(endpoint).ifPresent(host -> send(host.id(), action));
    }

    private void execute(RoutedRequest request, DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            if (!send.assigned()) {
                EndpointKey endpoint = send.endpoint().key();
                sendToCoordinator(
                        endpoint, host -> host.coordinator.onlineStarted(self.id(), endpoint, clock.nowNanos()));
            }
            counts.sent(self.zone(), send.endpoint().zone(), clock.nowMillis());
            send(request, send.endpoint());
        } else if (decision instanceof DispatchDecision.AskGroup ask) {
            ask(request, ask);
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            calls.remove(request).onRefused(refuse.refusal().retryAfterMillis().orElse(0L));
        } else if (decision instanceof DispatchDecision.Wait wait) {
            clock.schedule(wait.millis(), () -> execute(request, core.dispatchAfterWait(request, clock.nowNanos())));
        }
    }

    private void ask(RoutedRequest request, DispatchDecision.AskGroup ask) {
        HostId asked = routing.coordinator(ask.group()).id();
        OnceAnswered<PlacementReply> answer = new OnceAnswered<>(
                reply -> execute(request, core.placementAnswered(request, reply.answer(), clock.nowNanos())),
                this::returnSlot);
        send(asked, host -> {
            PlacementReply reply = host.coordinator.place(self.id(), ask.group(), ask.query(), clock.nowNanos());
            host.assign();
            host.send(self.id(), asking -> {
                reports.reservationReceived(asked, reply.reservation());
                answer.onAnswer(reply);
            });
        });
        if (answer.isAwaited()) {
            clock.schedule(
                    PLACEMENT_TIMEOUT_MILLIS,
                    () -> answer.onTimeout(() -> {
                        routing.markUnresponsive(asked, clock.nowNanos());
                        execute(request, core.placeWithoutAnswer(request, clock.nowNanos()));
                    }));
        }
    }

    private void returnSlot(PlacementReply late) {
        if (late.answer() instanceof PlacementAnswer.Placed placed) {
            tellEnded(placed.endpoint(), AttemptEnd.DROPPED, AttemptTiming.ofDuration(0));
        }
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
        Optional<PlacedItem> placed = fleet.find(endpoint)
                .flatMap(found -> items.startAt(
                        found.entry(), grant.pressure(), openBatches(), clock.nowNanos(), clock.nowMillis()));
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
        ReplayItemRun run = new ReplayItemRun(
                clock,
                counts,
                placed.get(),
                endpoints.get(endpoint),
                eventsByItem,
                network.toMillis(self, endpoints.get(endpoint).entry()),
                this::itemEnded);
        itemRuns.put(placed.get(), run);
        itemsChanged = true;
        clock.schedule(network.toMillis(self, endpoints.get(endpoint).entry()), run::start);
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

    private void send(RoutedRequest request, EndpointEntry entry) {
        ReplayCall call = calls.get(request);
        ReplayEndpoint endpoint = endpoints.get(entry.key());
        if (network.isCut(self.zone(), entry.zone()) || endpoint.isDown()) {
            double millis = endpoint.isDown() ? network.toMillis(self, entry) : CONNECT_TIMEOUT_MILLIS;
            clock.schedule(millis, () -> handleFailure(request, entry.key(), AttemptEnd.UNREACHABLE));
            return;
        }
        ReplayAttempt attempt = new ReplayAttempt(
                clock,
                action -> network.sendAnswer(self, entry.zone(), () -> process.run(action)),
                call,
                pace -> handleAnswer(request, entry.key(), pace),
                end -> handleFailure(request, entry.key(), end));
        ReplayEndpoint.Run run = new ReplayEndpoint.Run(call.promptTokens(), call.events(), attempt);
        clock.schedule(network.toMillis(self, entry), () -> endpoint.receive(run));
    }

    private void handleAnswer(RoutedRequest request, EndpointKey endpoint, EventPace pace) {
        tellEnded(endpoint, AttemptEnd.ANSWERED, process.timing(request.attemptNanos(clock.nowNanos()), pace));
        core.attemptSucceeded(request, clock.nowNanos());
        calls.remove(request).onAnswered();
    }

    private void handleFailure(RoutedRequest request, EndpointKey endpoint, AttemptEnd end) {
        tellEnded(endpoint, end, AttemptTiming.ofDuration(0));
        execute(request, core.attemptFailed(request, end, clock.nowNanos()));
    }

    private void tellEnded(EndpointKey endpoint, AttemptEnd end, AttemptTiming timing) {
        routing.coordinatorOf(endpoint)
                .ifPresent(to -> send(to.id(), host -> {
                    host.coordinator.onlineEnded(self.id(), endpoint, end, timing, clock.nowNanos());
                    host.assign();
                }));
    }

    private List<ItemTiming> waitingItems() {
        return items.waitingItems(openBatches(), clock.nowNanos(), clock.nowMillis())
                .getOrDefault(ServingReplay.SERVICE, List.of());
    }

    private List<OwnedBatch> openBatches() {
        return batches.stream().filter(batch -> batch.openItemCount() > 0).toList();
    }

    private void itemEnded(ReplayItemRun run, RunEnd end, AttemptEnd attemptEnd) {
        PlacedItem placed = run.placed();
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
