package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.dispatch.ItemPlacement;
import org.gooseberryhill.decision.dispatch.ItemStartPause;
import org.gooseberryhill.decision.dispatch.YieldGracePeriod;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteTarget;

/**
 * Decides which items of a host's batches start, on which endpoints, and which running items yield to online requests.
 * Not thread-safe.
 *
 * <p>Invariants: an item has at most one run at a time; each run that is started here is also ended here, so the count
 * of runs in flight stays correct.
 */
public final class ItemDispatch {
    /**
     * Items whose slack is less than this many times the expected run time of a whole item are urgent: they may take
     * slots that are reserved for online requests.
     */
    private static final double URGENT_SLACK_RUNS = 1;

    private final HostId self;
    private final Fleet fleet;
    private final BatchRoutes routes;
    private final ItemOrder order;
    private final ItemPlacement placement;
    private final YieldGracePeriod yieldGracePeriod = new YieldGracePeriod();
    private final ItemStartPause pause = new ItemStartPause();
    private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();
    private final Map<EndpointKey, List<PlacedItem>> runsByEndpoint = new TreeMap<>();

    /** Creates a dispatch of the items of one host to the endpoints that this host knows. */
    public ItemDispatch(HostId self, Fleet fleet, BatchRoutes routes, ItemOrder order, ItemPlacement placement) {
        this.self = self;
        this.fleet = fleet;
        this.routes = routes;
        this.order = order;
        this.placement = placement;
    }

    /** Returns the number of running items. */
    public int runningCount() {
        return runsByEndpoint.values().stream().mapToInt(List::size).sum();
    }

    /** Starts runs on free slots and returns them, already counted as in flight. */
    public List<PlacedItem> startRuns(Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        List<DueItem> items = new ArrayList<>();
        for (OwnedBatch batch : batches) {
            routes.of(batch).ifPresent(route -> {
                long untilDueMillis = BatchRoutes.dueAtMillis(batch, route) - nowMillis;
                batch.startableItems(nowNanos)
                        .forEach(item -> items.add(
                                new DueItem(batch, item, untilDueMillis, runTimeEstimator.remainingMillis(item))));
            });
        }
        return items.isEmpty() ? List.of() : place(order.sorted(items), nowNanos);
    }

    /**
     * Returns the runs that have to yield now because their endpoint has more requests in flight than slots. They count
     * as running until {@link #runEnded} is called.
     */
    public List<PlacedItem> chooseRunsToYield(long nowNanos, long nowMillis) {
        List<PlacedItem> yielding = new ArrayList<>();
        runsByEndpoint.forEach((key, runs) -> fleet.find(key).ifPresent(endpoint -> {
            int yieldCount = yieldGracePeriod.itemsToYield(key, fleet.yieldShare(endpoint, self), nowNanos);
            if (yieldCount > 0) {
                pause.itemsYielded(key, nowNanos);
                yielding.addAll(lastInOrder(runs, Math.min(yieldCount, runs.size()), nowMillis));
            }
        }));
        return yielding;
    }

    /** Returns the runs of a batch. */
    public List<PlacedItem> runsOf(String batchId) {
        return allRuns().stream()
                .filter(run -> run.batch().id().equals(batchId))
                .toList();
    }

    /** Returns all runs. */
    public List<PlacedItem> allRuns() {
        return runsByEndpoint.values().stream().flatMap(List::stream).toList();
    }

    /** Records the end of a run. */
    public void runEnded(PlacedItem run, RunEnd end, AttemptEnd attemptEnd, long nowNanos) {
        EndpointKey key = run.endpoint().key();
        List<PlacedItem> runs = runsByEndpoint.get(key);
        runs.remove(run);
        if (runs.isEmpty()) {
            runsByEndpoint.remove(key);
        }
        fleet.batchEnded(key);
        fleet.attemptEnded(key, attemptEnd, nowNanos);
        runTimeEstimator.runEnded(
                run.newCharacters(), (double) run.elapsedNanos(nowNanos) / TimeUnit.MILLISECONDS.toNanos(1));
        if (end == RunEnd.COMPLETED) {
            runTimeEstimator.itemCompleted(run.item().characterCount());
        }
        int maxAttempts = routes.of(run.batch()).map(Route::maxAttempts).orElse(1);
        run.batch().runEnded(run.item(), end, maxAttempts, nowNanos);
    }

    private List<PlacedItem> place(List<DueItem> items, long nowNanos) {
        List<PlacedItem> started = new ArrayList<>();
        Map<Route, List<FleetEndpoint>> endpointsByRoute = new IdentityHashMap<>();
        Set<String> exhaustedSlotClasses = new HashSet<>();
        for (DueItem dueItem : items) {
            Route route = routes.of(dueItem.batch()).orElseThrow();
            boolean urgent = dueItem.isFeasible()
                    && dueItem.slackMillis() < URGENT_SLACK_RUNS * runTimeEstimator.fullRunMillis();
            String slotClass = route.name() + (urgent ? " urgent" : "");
            if (exhaustedSlotClasses.contains(slotClass)) {
                continue;
            }
            List<FleetEndpoint> endpoints = endpointsByRoute.computeIfAbsent(route, key -> endpoints(key, nowNanos));
            Optional<FleetEndpoint> endpoint = placement.choose(endpoints, urgent, nowNanos);
            if (endpoint.isEmpty()) {
                exhaustedSlotClasses.add(slotClass);
            } else {
                started.add(placeAt(endpoint.get(), dueItem, urgent, nowNanos));
            }
        }
        return started;
    }

    private PlacedItem placeAt(FleetEndpoint endpoint, DueItem dueItem, boolean urgent, long nowNanos) {
        PlacedItem run = new PlacedItem(dueItem, endpoint.entry(), urgent, nowNanos);
        runsByEndpoint.computeIfAbsent(endpoint.key(), key -> new ArrayList<>()).add(run);
        fleet.batchStarted(endpoint.key());
        dueItem.batch().runStarted(dueItem.item());
        return run;
    }

    private List<FleetEndpoint> endpoints(Route route, long nowNanos) {
        List<FleetEndpoint> endpoints = new ArrayList<>();
        for (RouteTarget target : route.targets()) {
            if (target.weight() > 0) {
                fleet.endpointsOf(target.service()).stream()
                        .filter(endpoint -> !pause.isPaused(endpoint.key(), nowNanos))
                        .forEach(endpoints::add);
            }
        }
        return endpoints;
    }

    /**
     * Returns the runs whose items are last in the order for free slots; among equal ones those that started last,
     * which have the least output to process again when they are resumed.
     */
    private List<PlacedItem> lastInOrder(List<PlacedItem> runs, int count, long nowMillis) {
        Map<DueItem, PlacedItem> runsByItem = new LinkedHashMap<>();
        for (PlacedItem run : runs) {
            long untilDueMillis = routes.dueAtMillis(run.batch()).orElse(nowMillis) - nowMillis;
            double remainingRunMillis = runTimeEstimator.remainingMillis(run.item());
            runsByItem.put(new DueItem(run.batch(), run.item(), untilDueMillis, remainingRunMillis), run);
        }
        List<DueItem> ordered = order.sorted(List.copyOf(runsByItem.keySet()));
        return ordered.subList(ordered.size() - count, ordered.size()).stream()
                .map(runsByItem::get)
                .toList();
    }
}
