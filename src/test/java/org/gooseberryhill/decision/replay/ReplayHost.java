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
import org.gooseberryhill.decision.dispatch.RoutedIntake;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
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
    private static final double WAY_MILLIS = 0.8;

    /** Delay in which load changes are collected before they are reported to the other hosts. */
    private static final double REPORT_MILLIS = 25;

    private static final double TICK_MILLIS = 25;
    private static final long SUSPECT_MILLIS = 60_000;

    private final VirtualTime time;
    private final HostId id;
    private final Map<EndpointKey, ReplayEndpoint> endpoints;
    private final Fleet fleet = new Fleet();
    private final DispatchCore core;
    private final ItemDispatch items;
    private final Map<RoutedRequest, ReplayCall> calls = new IdentityHashMap<>();
    private final Map<PlacedItem, ItemRun> itemRuns = new IdentityHashMap<>();
    private final List<OwnedBatch> batches = new ArrayList<>();
    private final Map<String, Integer> itemEvents = new HashMap<>();
    private final Consumer<OwnedBatch> onItemDone;
    private List<ReplayHost> others = List.of();
    private boolean reporting;
    private int requests;

    ReplayHost(
            VirtualTime time,
            int number,
            Map<EndpointKey, ReplayEndpoint> endpoints,
            RouteTable routes,
            DispatchPolicies policies,
            Consumer<OwnedBatch> onItemDone) {
        this.time = time;
        this.onItemDone = onItemDone;
        this.id = new HostId("host-" + number);
        this.endpoints = endpoints;
        List<EndpointEntry> entries =
                endpoints.values().stream().map(ReplayEndpoint::entry).toList();
        fleet.directory(entries);
        core = new DispatchCore(entries.get(0).zone(), policies, fleet, new CrashSuspects(SUSPECT_MILLIS, 100));
        BatchRoutes batchRoutes = new BatchRoutes();
        batchRoutes.configure(routes);
        items = new ItemDispatch(id, fleet, batchRoutes, new FeasibleFirstOrder(), policies.items());
        time.after(new Random(number).nextDouble() * TICK_MILLIS, this::tick);
    }

    void knows(List<ReplayHost> hosts) {
        others = hosts.stream().filter(host -> host != this).toList();
    }

    /** Handles an attempt of a caller that arrives at this host. */
    void arrive(ReplayCall call, Route route, long deadlineNanos) {
        String name = id.value() + "-" + requests++;
        RoutedRequest request = core.arrived(new RoutedIntake(
                name,
                route,
                ServingReplay.SERVICE,
                Optional.empty(),
                Lazy.of(() -> Fingerprint.of(name, new byte[0])),
                time.nowNanos(),
                deadlineNanos));
        calls.put(request, call);
        follow(request, core.first(request, time.nowNanos()));
    }

    /** Adds a batch that this host owns, with the number of events of each item. */
    void own(OwnedBatch batch, List<Integer> events) {
        batches.add(batch);
        for (int item = 0; item < events.size(); item++) {
            itemEvents.put(batch.id() + "/i" + item, events.get(item));
        }
        balance();
    }

    private void tick() {
        balance();
        time.after(TICK_MILLIS, this::tick);
    }

    private void follow(RoutedRequest request, DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            send(request, send.endpoint());
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            refuse(request, refuse.refusal());
        } else if (decision instanceof DispatchDecision.Wait wait) {
            time.after(wait.millis(), () -> follow(request, core.again(request, time.nowNanos())));
        }
    }

    private void refuse(RoutedRequest request, Refusal refusal) {
        calls.remove(request).refused(refusal.retryAfterMillis().orElse(0L));
        changed();
    }

    private void send(RoutedRequest request, EndpointEntry entry) {
        changed();
        ReplayCall call = calls.get(request);
        ReplayEndpoint endpoint = endpoints.get(entry.key());
        ReplayEndpoint.Run run =
                new ReplayEndpoint.Run(call.promptTokens(), call.events(), new ReplayEndpoint.Caller() {
                    @Override
                    public void event() {
                        time.after(WAY_MILLIS, call::event);
                    }

                    @Override
                    public void ended() {
                        time.after(WAY_MILLIS, () -> answered(request));
                    }

                    @Override
                    public void busy() {
                        time.after(WAY_MILLIS, () -> turnedAway(request));
                    }
                });
        time.after(WAY_MILLIS, () -> endpoint.take(run));
    }

    private void answered(RoutedRequest request) {
        core.attemptSucceeded(request, time.nowNanos());
        calls.remove(request).answered();
        changed();
    }

    private void turnedAway(RoutedRequest request) {
        DispatchDecision decision = core.attemptFailed(request, AttemptEnd.BUSY, time.nowNanos());
        changed();
        follow(request, decision);
    }

    private void balance() {
        items.giveWay(time.nowNanos(), time.nowMillis())
                .forEach(run -> itemRuns.get(run).giveWay());
        List<OwnedBatch> open =
                batches.stream().filter(batch -> batch.openItems() > 0).toList();
        items.start(open, time.nowNanos(), time.nowMillis()).forEach(this::start);
    }

    private void start(PlacedItem placed) {
        ItemRun run = new ItemRun(placed);
        itemRuns.put(placed, run);
        changed();
        time.after(WAY_MILLIS, run::begin);
    }

    private void changed() {
        if (reporting) {
            return;
        }
        reporting = true;
        time.after(REPORT_MILLIS, () -> {
            reporting = false;
            Map<EndpointKey, InFlight> load = fleet.own();
            others.forEach(host -> time.after(WAY_MILLIS, () -> host.heard(id, load)));
        });
    }

    private void heard(HostId from, Map<EndpointKey, InFlight> load) {
        fleet.reported(from, load, time.nowNanos());
    }

    /** A run of a batch item at an endpoint. */
    private final class ItemRun implements ReplayEndpoint.Caller {
        private static final int PROMPT_TOKENS = 350;
        private static final int EVENT_CHARACTERS = 70;

        private final PlacedItem placed;
        private final ReplayEndpoint endpoint;
        private final ReplayEndpoint.Run run;
        private boolean over;

        ItemRun(PlacedItem placed) {
            this.placed = placed;
            this.endpoint = endpoints.get(placed.endpoint().key());
            int length = itemEvents.get(
                    placed.batch().id() + "/" + placed.item().item().id());
            int left = length - placed.item().lastEventId().orElse(0L).intValue();
            this.run = new ReplayEndpoint.Run(PROMPT_TOKENS, left, this);
        }

        void begin() {
            if (!over) {
                endpoint.take(run);
            }
        }

        void giveWay() {
            if (over) {
                return;
            }
            over(RunEnd.YIELDED, AttemptEnd.ABANDONED);
            time.after(WAY_MILLIS, () -> endpoint.drop(run));
        }

        @Override
        public void event() {
            if (!over) {
                long next = placed.item().lastEventId().orElse(0L) + 1;
                placed.item().event(Optional.of(next), "w".repeat(EVENT_CHARACTERS));
            }
        }

        @Override
        public void ended() {
            time.after(WAY_MILLIS, () -> over(RunEnd.COMPLETED, AttemptEnd.ANSWERED));
        }

        @Override
        public void busy() {
            time.after(WAY_MILLIS, () -> over(RunEnd.NOT_RUN, AttemptEnd.BUSY));
        }

        private void over(RunEnd end, AttemptEnd attemptEnd) {
            if (over) {
                return;
            }
            over = true;
            itemRuns.remove(placed);
            items.ended(placed, end, attemptEnd, time.nowNanos());
            if (end == RunEnd.COMPLETED) {
                onItemDone.accept(placed.batch());
            }
            changed();
        }
    }
}
