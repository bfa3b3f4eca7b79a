package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteTarget;

/**
 * Decides which items of a host's batches use the slots that coordinators grant, and keeps the runs. Not thread-safe.
 *
 * <p>Load pattern: endpoints of two software versions serve while one replaces the other, and items yield several times. Output
 * goes on only at the version that generated it, so an item waits for a slot there, while an endpoint of the version stays and as
 * long as the {@link RestartPolicy} says.
 *
 * <p>Invariants: an item has at most one run at a time, and none while it is not known what came of the last one; each run that is
 * started here is also ended here, so the count of runs in flight stays correct.
 */
public final class ItemDispatch {
    /** Longest delay before an item with a blocked part is looked at again: other versions may serve it. */
    private static final long MAX_BLOCKED_BACKOFF_MILLIS = 1000;

    /** Delay before a permit is asked for again: about the time of a short run. */
    private static final long PERMIT_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Fleet fleet;
    private final BatchRoutes routes;
    private final ItemOrder order;
    private final RestartPolicy restartPolicy;
    private final ItemQuarantine quarantine;
    private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();
    private final Map<Long, PlacedItem> runs = new LinkedHashMap<>();
    private long lastRunNumber;
    private double lastPressure;

    /** Creates a dispatch of the items of one host to the endpoints that this host knows. */
    public ItemDispatch(
            Fleet fleet, BatchRoutes routes, ItemOrder order, RestartPolicy restartPolicy, ItemQuarantine quarantine) {
        this.fleet = fleet;
        this.routes = routes;
        this.order = order;
        this.restartPolicy = restartPolicy;
        this.quarantine = quarantine;
    }

    /** Returns the number of running items. */
    public int runningCount() {
        return runs.size();
    }

    /** Returns the times of the items that may start now, by service, in the order in which they would start. */
    public Map<String, List<ItemTiming>> waitingItems(Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        Map<String, List<ItemTiming>> waiting = new HashMap<>();
        for (DueItem item : startableItems(batches, nowNanos, nowMillis)) {
            for (RouteTarget target : targets(item.batch())) {
                waiting.computeIfAbsent(target.service(), service -> new ArrayList<>())
                        .add(item.timing());
            }
        }
        return waiting;
    }

    /**
     * Starts a run of the first waiting item that may run at an endpoint without a permit and returns it, already counted as in
     * flight; empty if no item waits, or all that do wait for permits or for endpoints of other versions.
     *
     * @param pressure the pressure that the coordinator of the endpoint has measured
     */
    public Optional<PlacedItem> startAt(
            EndpointEntry endpoint, double pressure, Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        return candidates(endpoint, pressure, batches, nowNanos, nowMillis)
                .filter(item -> verdict(item, endpoint, nowNanos).kind() == Kind.CLEAR)
                .findFirst()
                .map(item -> start(endpoint, item, nowNanos));
    }

    /**
     * Returns the item that is first in the order for an endpoint, if it needs a permit to run there. It does not start elsewhere while
     * the permit is asked for.
     */
    public Optional<SuspectItem> suspectAt(
            EndpointEntry endpoint, double pressure, Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        Optional<SuspectItem> suspect = candidates(endpoint, pressure, batches, nowNanos, nowMillis)
                .map(item -> new SuspectItem(item, verdict(item, endpoint, nowNanos)))
                .findFirst()
                .filter(item -> !item.parts().isEmpty());
        suspect.ifPresent(item -> item.dueItem().item().deferUntil(nowNanos + PERMIT_BACKOFF_NANOS));
        return suspect;
    }

    /** Starts a run of an item that was permitted; empty if the item has ended meanwhile. */
    public Optional<PlacedItem> startSuspect(SuspectItem suspect, EndpointEntry endpoint, long nowNanos) {
        DueItem item = suspect.dueItem();
        boolean open = !item.item().isRunning() && item.item().result().isEmpty();
        return open ? Optional.of(start(endpoint, item, nowNanos)) : Optional.empty();
    }

    /** Returns the items that may start at an endpoint in their order; those with a blocked part are deferred. */
    private Stream<DueItem> candidates(
            EndpointEntry endpoint, double pressure, Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        lastPressure = pressure;
        return startableItems(batches, nowNanos, nowMillis).stream()
                .filter(item -> targets(item.batch()).stream()
                        .anyMatch(target -> target.service().equals(endpoint.service())))
                .filter(item -> mayStartAt(endpoint.serviceVersion(), item, nowNanos))
                .filter(item -> !deferIfBlocked(item, verdict(item, endpoint, nowNanos), nowNanos));
    }

    private static boolean deferIfBlocked(DueItem item, PartVerdict verdict, long nowNanos) {
        if (verdict.kind() != Kind.BLOCKED) {
            return false;
        }
        long delayMillis = Math.min(MAX_BLOCKED_BACKOFF_MILLIS, verdict.retryAfterMillis());
        item.item().deferUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis));
        return true;
    }

    private PartVerdict verdict(DueItem item, EndpointEntry endpoint, long nowNanos) {
        return quarantine.verdict(item.item(), endpoint.serviceVersion(), nowNanos);
    }

    private boolean mayStartAt(ServiceVersion version, DueItem item, long nowNanos) {
        Optional<ServiceVersion> generatedBy = item.item().generatedBy();
        if (generatedBy.isEmpty() || generatedBy.get().equals(version) || !isServed(generatedBy.get())) {
            return true;
        }
        long generatedMillis = item.timing().runMillis() - item.timing().remainingMillis();
        long passedOverMillis = TimeUnit.NANOSECONDS.toMillis(item.item().passOver(nowNanos));
        return restartPolicy.startsAnew(passedOverMillis, generatedMillis);
    }

    /** Returns whether an endpoint of a version is registered that stays. */
    private boolean isServed(ServiceVersion version) {
        return fleet.endpointsOf(version.service()).stream()
                .map(FleetEndpoint::entry)
                .anyMatch(entry -> entry.serviceVersion().equals(version) && !entry.leaving());
    }

    /** Returns a run that has not ended. */
    public Optional<PlacedItem> find(long number) {
        return Optional.ofNullable(runs.get(number));
    }

    /** Returns the runs of a batch. */
    public List<PlacedItem> runsOf(String batchId) {
        return runs.values().stream()
                .filter(run -> run.batch().id().equals(batchId))
                .toList();
    }

    /** Returns all runs, as reported to the coordinators of their endpoints. */
    public List<ItemStart> starts() {
        return runs.values().stream()
                .map(run -> new ItemStart(0, run.number(), run.endpoint().key(), run.timing()))
                .toList();
    }

    /** Returns all runs. */
    public List<PlacedItem> allRuns() {
        return List.copyOf(runs.values());
    }

    /** Records the end of a run whose output is known. */
    public void runEnded(PlacedItem run, RunEnd end, AttemptEnd attemptEnd, long nowNanos) {
        exchangeEnded(run, attemptEnd, nowNanos);
        outputKnown(run, end, nowNanos, nowNanos);
    }

    /** Records that a run occupies its endpoint no longer; its item starts nowhere before {@link #outputKnown}. */
    public void exchangeEnded(PlacedItem run, AttemptEnd attemptEnd, long nowNanos) {
        runs.remove(run.number());
        fleet.batchEnded(run.endpoint().key());
        fleet.attemptEnded(run.endpoint().key(), attemptEnd, nowNanos);
    }

    /**
     * Records what came of a run that occupies its endpoint no longer.
     *
     * @param endedNanos when it did
     */
    public void outputKnown(PlacedItem run, RunEnd end, long endedNanos, long nowNanos) {
        runTimeEstimator.runEnded(
                run.newCharacters(), (double) run.elapsedNanos(endedNanos) / TimeUnit.MILLISECONDS.toNanos(1));
        int maxAttempts = routes.of(run.batch()).map(Route::maxAttempts).orElse(1);
        boolean wasDone = run.item().isDone();
        run.batch().runEnded(run.item(), end, maxAttempts, nowNanos);
        if (!wasDone && run.item().isDone()) {
            runTimeEstimator.itemCompleted(run.item().characterCount());
        }
    }

    private List<DueItem> startableItems(Collection<OwnedBatch> batches, long nowNanos, long nowMillis) {
        List<DueItem> items = new ArrayList<>();
        for (OwnedBatch batch : batches) {
            routes.of(batch).ifPresent(route -> {
                batch.giveUpExhausted(route.maxAttempts());
                long untilDueMillis = BatchRoutes.dueAtMillis(batch, route) - nowMillis;
                batch.startableItems(nowNanos)
                        .forEach(item -> items.add(new DueItem(batch, item, timing(item, untilDueMillis))));
            });
        }
        items.sort(Comparator.comparing(DueItem::timing, order.comparator(lastPressure)));
        return items;
    }

    private ItemTiming timing(ItemProgress item, long untilDueMillis) {
        return new ItemTiming(
                untilDueMillis,
                Math.round(runTimeEstimator.remainingMillis(item)),
                Math.round(runTimeEstimator.fullRunMillis()),
                item.hasOutput());
    }

    private List<RouteTarget> targets(OwnedBatch batch) {
        return routes.of(batch).map(Route::targets).orElse(List.of()).stream()
                .filter(target -> target.weight() > 0)
                .toList();
    }

    private PlacedItem start(EndpointEntry endpoint, DueItem item, long nowNanos) {
        PlacedItem run = new PlacedItem(++lastRunNumber, item, endpoint, item.timing(), nowNanos);
        runs.put(run.number(), run);
        fleet.batchStarted(endpoint.key());
        item.batch().runStarted(item.item(), endpoint.serviceVersion());
        return run;
    }
}
