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
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.DispatchDecision;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.FeasibleFirstOrder;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteTable;

/**
 * A simulated gateway host, which carries out the product's decisions on requests and batch items at the replay's
 * endpoints in virtual time.
 */
final class ReplayHost {
    /** One-way network latency from a host to an endpoint; half of the endpoints are in other availability zones. */
    private static final double ONE_WAY_LATENCY_MILLIS = 0.8;

    /** Delay in which load changes are collected before they are reported to the other hosts. */
    private static final double REPORT_DELAY_MILLIS = 25;

    private static final double TICK_MILLIS = 25;
    private static final long SUSPECT_MILLIS = 60_000;

    private final VirtualClock clock;
    private final HostId id;
    private final Map<EndpointKey, ReplayEndpoint> endpoints;
    private final Fleet fleet = new Fleet();
    private final DispatchCore core;
    private final ItemDispatch items;
    private final Map<RoutedRequest, ReplayCall> calls = new IdentityHashMap<>();
    private final Map<PlacedItem, ItemRun> itemRuns = new IdentityHashMap<>();
    private final List<OwnedBatch> batches = new ArrayList<>();
    private final Map<String, Integer> eventsByItem = new HashMap<>();
    private final Consumer<OwnedBatch> onItemDone;
    private List<ReplayHost> otherHosts = List.of();
    private boolean reportScheduled;
    private int requestCount;

    ReplayHost(
            VirtualClock clock,
            int number,
            Map<EndpointKey, ReplayEndpoint> endpoints,
            RouteTable routes,
            DispatchPolicies policies,
            Consumer<OwnedBatch> onItemDone) {
        this.clock = clock;
        this.onItemDone = onItemDone;
        this.id = new HostId("host-" + number);
        this.endpoints = endpoints;
        List<EndpointEntry> entries =
                endpoints.values().stream().map(ReplayEndpoint::entry).toList();
        fleet.updateDirectory(entries);
        core = new DispatchCore(entries.get(0).zone(), policies, fleet, new CrashSuspects(SUSPECT_MILLIS, 100));
        BatchRoutes batchRoutes = new BatchRoutes();
        batchRoutes.configure(routes);
        items = new ItemDispatch(id, fleet, batchRoutes, new FeasibleFirstOrder(), policies.items());
        clock.schedule(new Random(number).nextDouble() * TICK_MILLIS, this::tick);
    }

    void setOtherHosts(List<ReplayHost> hosts) {
        otherHosts = hosts.stream().filter(host -> host != this).toList();
    }

    /** Handles an attempt of a caller that arrives at this host. */
    void receive(ReplayCall call, Route route, long deadlineNanos) {
        String name = id.value() + "-" + requestCount++;
        RoutedRequest request = core.newRequest(new RoutedRequestInfo(
                name,
                route,
                ServingReplay.SERVICE,
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
        dispatchItems();
    }

    private void tick() {
        dispatchItems();
        clock.schedule(TICK_MILLIS, this::tick);
    }

    private void execute(RoutedRequest request, DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            send(request, send.endpoint());
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            refuse(request, refuse.refusal());
        } else if (decision instanceof DispatchDecision.Wait wait) {
            clock.schedule(wait.millis(), () -> execute(request, core.dispatchAfterWait(request, clock.nowNanos())));
        }
    }

    private void refuse(RoutedRequest request, Refusal refusal) {
        calls.remove(request).onRefused(refusal.retryAfterMillis().orElse(0L));
        scheduleLoadReport();
    }

    private void send(RoutedRequest request, EndpointEntry entry) {
        scheduleLoadReport();
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
                        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> completeRequest(request));
                    }

                    @Override
                    public void onBusy() {
                        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> handleBusy(request));
                    }
                });
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> endpoint.receive(run));
    }

    private void completeRequest(RoutedRequest request) {
        core.attemptSucceeded(request, clock.nowNanos());
        calls.remove(request).onAnswered();
        scheduleLoadReport();
    }

    private void handleBusy(RoutedRequest request) {
        DispatchDecision decision = core.attemptFailed(request, AttemptEnd.BUSY, clock.nowNanos());
        scheduleLoadReport();
        execute(request, decision);
    }

    private void dispatchItems() {
        items.chooseRunsToYield(clock.nowNanos(), clock.nowMillis())
                .forEach(run -> itemRuns.get(run).yieldToOnline());
        List<OwnedBatch> open =
                batches.stream().filter(batch -> batch.openItemCount() > 0).toList();
        items.startRuns(open, clock.nowNanos(), clock.nowMillis()).forEach(this::start);
    }

    private void start(PlacedItem placed) {
        ItemRun run = new ItemRun(placed);
        itemRuns.put(placed, run);
        scheduleLoadReport();
        clock.schedule(ONE_WAY_LATENCY_MILLIS, run::start);
    }

    private void scheduleLoadReport() {
        if (reportScheduled) {
            return;
        }
        reportScheduled = true;
        clock.schedule(REPORT_DELAY_MILLIS, () -> {
            reportScheduled = false;
            Map<EndpointKey, InFlight> load = fleet.ownInFlight();
            otherHosts.forEach(host -> clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> host.receiveLoadReport(id, load)));
        });
    }

    private void receiveLoadReport(HostId from, Map<EndpointKey, InFlight> load) {
        fleet.updateReport(from, load, clock.nowNanos());
    }

    /** A run of a batch item at an endpoint. */
    private final class ItemRun implements ReplayEndpoint.AnswerListener {
        private static final int PROMPT_TOKENS = 350;
        private static final int EVENT_CHARACTERS = 70;

        private final PlacedItem placed;
        private final ReplayEndpoint endpoint;
        private final ReplayEndpoint.Run run;
        private boolean finished;

        ItemRun(PlacedItem placed) {
            this.placed = placed;
            this.endpoint = endpoints.get(placed.endpoint().key());
            int totalEvents = eventsByItem.get(
                    placed.batch().id() + "/" + placed.item().item().id());
            int remainingEvents =
                    totalEvents - placed.item().lastEventId().orElse(0L).intValue();
            this.run = new ReplayEndpoint.Run(PROMPT_TOKENS, remainingEvents, this);
        }

        void start() {
            if (!finished) {
                endpoint.receive(run);
            }
        }

        void yieldToOnline() {
            if (finished) {
                return;
            }
            finish(RunEnd.YIELDED, AttemptEnd.ABANDONED);
            clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> endpoint.cancel(run));
        }

        @Override
        public void onEvent() {
            if (!finished) {
                long next = placed.item().lastEventId().orElse(0L) + 1;
                placed.item().appendEvent(Optional.of(next), "w".repeat(EVENT_CHARACTERS));
            }
        }

        @Override
        public void onEnd() {
            clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> finish(RunEnd.COMPLETED, AttemptEnd.ANSWERED));
        }

        @Override
        public void onBusy() {
            clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> finish(RunEnd.NOT_RUN, AttemptEnd.BUSY));
        }

        private void finish(RunEnd end, AttemptEnd attemptEnd) {
            if (finished) {
                return;
            }
            finished = true;
            itemRuns.remove(placed);
            items.runEnded(placed, end, attemptEnd, clock.nowNanos());
            if (end == RunEnd.COMPLETED) {
                onItemDone.accept(placed.batch());
            }
            scheduleLoadReport();
        }
    }
}
