package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.dispatch.ItemPause;
import org.gooseberryhill.decision.dispatch.ItemPlacement;
import org.gooseberryhill.decision.dispatch.MovingMean;
import org.gooseberryhill.decision.dispatch.YieldTiming;
import org.gooseberryhill.decision.requestbatch.ItemProgress;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.timeline.EventKind;

/** Starts items of owned batches where slots are free, and lets them yield to online requests. For the control thread. */
final class BatchRunner {
    /** An item with less time left than this many whole runs no longer waits for a slot beyond the reserve. */
    private static final double URGENT_RUNS = 2;

    /** Until some items have run. */
    private static final double INITIAL_RUN_MILLIS = 4000;

    private static final double NEWEST_WEIGHT = 1.0 / 16;

    /** Without a route a batch waits this long for a configuration that has it again; then nobody can be owed it. */
    private static final long ROUTE_GONE_MILLIS = 20_000;

    private final GatewayContext context;
    private final BatchBoard board;
    private final ItemPlacement placement;
    private final Runnable onLoadChange;
    private final YieldTiming yieldTiming = new YieldTiming();
    private final ItemPause itemPause = new ItemPause();
    private final MovingMean runMillis = new MovingMean(INITIAL_RUN_MILLIS, NEWEST_WEIGHT);
    private final Map<EndpointKey, List<ItemRun>> runs = new HashMap<>();
    private RouteTable table = RouteTable.EMPTY;
    private boolean paused;

    BatchRunner(GatewayContext context, BatchBoard board, ItemPlacement placement, Runnable onLoadChange) {
        this.context = context;
        this.board = board;
        this.placement = placement;
        this.onLoadChange = onLoadChange;
    }

    /** Takes a configuration into force. */
    void configure(RouteTable newTable) {
        table = newTable;
    }

    /** Starts nothing new any more: the host stops. */
    void pause() {
        paused = true;
    }

    int running() {
        return runs.values().stream().mapToInt(List::size).sum();
    }

    /** Fits what runs to what is known now: items yield where too much is in flight, others start where slots are free. */
    void balance() {
        abandon();
        yieldWhereFull();
        if (!paused) {
            startWhereFree();
        }
    }

    /** Gives up all runs of a batch. */
    void stop(String batchId) {
        for (List<ItemRun> endpointRuns : List.copyOf(runs.values())) {
            List.copyOf(endpointRuns).stream()
                    .filter(run -> run.batch().id().equals(batchId))
                    .forEach(ItemRun::yield);
        }
    }

    /** Gives up all runs. */
    void stopAll() {
        List.copyOf(runs.values())
                .forEach(endpointRuns -> List.copyOf(endpointRuns).forEach(ItemRun::yield));
    }

    /** A run ended. */
    void ended(ItemRun run, RunEnd end, AttemptEnd attemptEnd, String detail) {
        EndpointKey key = run.endpoint().key();
        List<ItemRun> endpointRuns = runs.get(key);
        endpointRuns.remove(run);
        if (endpointRuns.isEmpty()) {
            runs.remove(key);
        }
        context.fleet().batchEnded(key);
        context.fleet().observed(key, attemptEnd, context.nowNanos());
        if (end == RunEnd.COMPLETED && !run.isContinuation()) {
            runMillis.add(run.ranMillis());
        }
        context.metrics().itemRunEnded(end);
        int maxAttempts = route(run.batch()).map(Route::maxAttempts).orElse(1);
        run.batch().ended(run.item(), end, maxAttempts, context.nowNanos());
        context.timeline()
                .event(EventKind.ITEM_RUN_ENDED)
                .job(run.batch().id())
                .with("item", run.item().item().id())
                .endpoint(key.id())
                .with("end", end)
                .with("detail", detail)
                .write();
        onLoadChange.run();
    }

    /** Gives up what its route no longer keeps: items of batches that are too old, or whose route is gone when they are due. */
    private void abandon() {
        long nowMillis = System.currentTimeMillis();
        for (OwnedBatch batch : board.batches()) {
            Optional<Route> route = route(batch);
            long ageMillis = nowMillis - batch.record().acceptedAtMillis();
            boolean tooOld = route.map(found -> found.retentionMillis() > 0 && ageMillis > found.retentionMillis())
                    .orElse(ageMillis > ROUTE_GONE_MILLIS);
            if (tooOld && batch.openItems() > 0 && !batch.record().ended()) {
                context.timeline()
                        .event(EventKind.ITEM_GIVEN_UP)
                        .job(batch.id())
                        .with("items", batch.openItems())
                        .with("ageMillis", ageMillis)
                        .with("routeKnown", route.isPresent())
                        .write();
                stop(batch.id());
                batch.giveUpAll();
            }
        }
    }

    private void yieldWhereFull() {
        for (EndpointKey key : List.copyOf(runs.keySet())) {
            Optional<FleetEndpoint> endpoint = context.fleet().find(key);
            if (endpoint.isEmpty()) {
                continue;
            }
            int tooMany = context.fleet()
                    .yieldShare(endpoint.get(), context.settings().self().id());
            int share = yieldTiming.due(key, tooMany, context.nowNanos());
            if (share > 0) {
                itemPause.gaveWay(key, context.nowNanos());
            }
            List<ItemRun> endpointRuns = List.copyOf(runs.get(key));
            for (int i = 0; i < Math.min(share, endpointRuns.size()); i++) {
                // The run that started last has the least to read again elsewhere.
                endpointRuns.get(endpointRuns.size() - 1 - i).yield();
            }
        }
    }

    private void startWhereFree() {
        List<OwnedBatch> open = board.batches().stream()
                .filter(batch -> !batch.isFinished())
                .sorted(Comparator.comparingLong(batch -> batch.record().acceptedAtMillis()))
                .toList();
        for (OwnedBatch batch : open) {
            Optional<Route> route = route(batch);
            if (route.isEmpty()) {
                continue;
            }
            List<FleetEndpoint> endpoints = endpoints(route.get());
            boolean urgent = isUrgent(batch, route.get());
            for (ItemProgress item : batch.startable(context.nowNanos())) {
                Optional<FleetEndpoint> endpoint = placement.choose(endpoints, urgent, context.nowNanos());
                if (endpoint.isEmpty()) {
                    break;
                }
                start(batch, item, endpoint.get());
            }
        }
    }

    /** Whether an item that starts now may miss its due time if it has to give way. */
    private boolean isUrgent(OwnedBatch batch, Route route) {
        long dueMillis = batch.record().acceptedAtMillis() + route.completionTargetMillis();
        long leftMillis = dueMillis - System.currentTimeMillis();
        return leftMillis < URGENT_RUNS * runMillis.value();
    }

    private void start(OwnedBatch batch, ItemProgress item, FleetEndpoint endpoint) {
        ItemRun run = new ItemRun(context, this, batch, item, endpoint.entry());
        runs.computeIfAbsent(endpoint.key(), key -> new ArrayList<>()).add(run);
        context.fleet().batchStarted(endpoint.key());
        batch.started(item);
        run.start();
        onLoadChange.run();
    }

    private List<FleetEndpoint> endpoints(Route route) {
        List<FleetEndpoint> endpoints = new ArrayList<>();
        for (RouteTarget target : route.targets()) {
            if (target.weight() > 0) {
                context.fleet().of(target.service()).stream()
                        .filter(endpoint -> !itemPause.isPaused(endpoint.key(), context.nowNanos()))
                        .forEach(endpoints::add);
            }
        }
        return endpoints;
    }

    private Optional<Route> route(OwnedBatch batch) {
        return table.find(batch.record().host(), batch.record().target())
                .filter(route -> route.kind() == RouteKind.BATCH);
    }
}
