package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.coordination.CoordinatorCommand;
import org.gooseberryhill.decision.coordination.FluctuationReserve;
import org.gooseberryhill.decision.coordination.HostWork;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.WaitingItems;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.RequestPlacer;
import org.gooseberryhill.decision.quota.EqualSharesQuota;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.ClientLimits;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Simulates a load of request batches and bursts of online requests on the item scheduling, in virtual time.
 *
 * <p>The load is that of the sites in use: 13 endpoints of 8 slots, online bursts of 2.4 s every 6 s, 7 items
 * per second of about 170 events, 28.6 ms per event, batches due 18 s after their submission. A single owner runs all
 * batches, since only the slots are scarce. During an outage nothing runs; afterwards items resume from saved progress
 * or start again.
 */
final class BatchLoadReplay {
    private static final int ENDPOINTS = 13;
    private static final int SLOTS = 8;
    private static final long TICK_MILLIS = 25;
    private static final double EVENT_MILLIS = 28.6;
    private static final int EVENT_CHARACTERS = 70;
    private static final long STARTUP_MILLIS = 60;
    private static final long DUE_MILLIS = 18_000;

    /** How long after the due time of its batch an item still counts as done in time. */
    private static final long READ_GRACE_MILLIS = 700;

    private static final HostId CALLERS = new HostId("callers");
    private static final HostId OWNER = new HostId("owner");

    private final Random random;
    private final ItemDispatch dispatch;
    private final SlotCoordinator coordinator;
    private final Fleet fleet = new Fleet();
    private final List<EndpointKey> endpoints = new ArrayList<>();
    private final List<OwnedBatch> batches = new ArrayList<>();
    private final Map<PlacedItem, Double> eventFractions = new HashMap<>();
    private final Map<String, Integer> eventsByItem = new HashMap<>();
    private final Map<String, ItemCheckpoint> savedCheckpoints = new HashMap<>();
    private long nowMillis = 1_000_000;
    private int onTimeItems;
    private int doneItems;
    private int submittedItems;
    private long generatedEvents;
    private long neededEvents;

    BatchLoadReplay(ItemOrder order, long seed) {
        this(order, new RestartAfterEqualWait(), 1, seed);
    }

    /** Replays a fleet whose endpoints have the given number of software versions, as many endpoints each. */
    BatchLoadReplay(ItemOrder order, RestartPolicy restartPolicy, int versions, long seed) {
        random = new Random(seed);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointEntry entry = new EndpointEntry(
                    "e" + i,
                    1,
                    "s",
                    "v" + i % versions,
                    new Address("10.0.0.1", 8000 + i),
                    new AvailabilityZone("a"),
                    SLOTS,
                    false,
                    0);
            entries.add(entry);
            endpoints.add(entry.key());
        }
        fleet.updateDirectory(entries);
        BatchRoutes routes = new BatchRoutes();
        routes.configure(new RouteTable(new RouteConfiguration(1, List.of(route()), Map.of(), ClientLimits.DEFAULT)));
        dispatch = new ItemDispatch(fleet, routes, order, restartPolicy, ItemQuarantine.none());
        coordinator = new SlotCoordinator(
                new RequestPlacer(DispatchPolicies.defaults(new Random(seed + 1))),
                new FluctuationReserve(),
                new EqualSharesQuota(),
                order,
                0);
        coordinator.updateDirectory(EndpointGroups.of(entries), entries);
    }

    /** Advances the time while batches of 4 to 16 items are submitted at random times with the given mean rate. */
    void load(long millis, double batchesPerSecond, double onlineMeanSlots) {
        long untilMillis = nowMillis + millis;
        while (nowMillis < untilMillis) {
            if (random.nextDouble() < batchesPerSecond * TICK_MILLIS / 1000) {
                submit(4 + random.nextInt(13));
            }
            reportOnlineLoad(onlineMeanSlots);
            tick();
        }
    }

    /** Cuts all runs; nothing starts until the outage is over. */
    void outage(long millis, boolean progressIsSaved) {
        for (PlacedItem run : dispatch.allRuns()) {
            end(run, RunEnd.CUT);
        }
        // All batches get a new owner, which does not know output that was not saved.
        batches.replaceAll(batch -> withNewOwner(batch, progressIsSaved));
        nowMillis += millis;
    }

    /** Advances the time without online load until all items are done, for at most 5 minutes. */
    void finish() {
        long untilMillis = nowMillis + TimeUnit.MINUTES.toMillis(5);
        while (doneItems < submittedItems && nowMillis < untilMillis) {
            reportOnlineLoad(0);
            tick();
        }
    }

    int submittedItems() {
        return submittedItems;
    }

    int doneItems() {
        return doneItems;
    }

    /** Returns the share of all items that were done in time. */
    double onTimeShare() {
        return (double) onTimeItems / submittedItems;
    }

    /** Returns the number of events that endpoints generated, as a multiple of those that the items needed. */
    double generatedShare() {
        return (double) generatedEvents / neededEvents;
    }

    private void submit(int items) {
        String id = "b" + batches.size();
        BatchRecord record = new BatchRecord(
                "h", "/b/1", "hash", "owner", "1", nowMillis, 1, items, false, List.of(), 0, Optional.empty());
        OwnedBatch batch = new OwnedBatch(id, record, 1, BatchFixture.items(items), List.of());
        batches.add(batch);
        for (int item = 0; item < items; item++) {
            int events = 130 + random.nextInt(87);
            eventsByItem.put(id + "/i" + item, events);
            neededEvents += events;
        }
        submittedItems += items;
    }

    private OwnedBatch withNewOwner(OwnedBatch batch, boolean progressIsSaved) {
        if (batch.openItemCount() == 0) {
            return batch;
        }
        List<ItemResult> results = batch.beginCommit(Integer.MAX_VALUE);
        List<ItemResult> committed =
                new ArrayList<>(batch.page(0, Integer.MAX_VALUE).results());
        committed.addAll(results);
        BatchRecord record = batch.record().withChunk(results.size());
        OwnedBatch next = new OwnedBatch(batch.id(), record, 1, BatchFixture.items(record.items()), committed);
        if (progressIsSaved) {
            next.restore(savedCheckpoints.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(batch.id() + "/"))
                    .map(Map.Entry::getValue)
                    .toList());
        }
        return next;
    }

    private void reportOnlineLoad(double meanSlots) {
        boolean burst = nowMillis % 6000 >= 3600;
        double slots = meanSlots * (burst ? 1.9 : 0.4);
        Map<EndpointKey, Integer> inFlight = new HashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            double share = slots / ENDPOINTS;
            int requests = (int) share + (random.nextDouble() < share - (int) share ? 1 : 0);
            inFlight.put(endpoints.get(i), Math.min(SLOTS, requests));
        }
        coordinator.report(CALLERS, new HostWork(0, inFlight, List.of()), nowNanos());
    }

    private void tick() {
        nowMillis += TICK_MILLIS;
        for (PlacedItem run : dispatch.allRuns()) {
            advance(run);
        }
        List<OwnedBatch> open =
                batches.stream().filter(batch -> batch.openItemCount() > 0).toList();
        List<ItemTiming> waiting =
                dispatch.waitingItems(open, nowNanos(), nowMillis).getOrDefault("s", List.of());
        coordinator.itemsWaiting(OWNER, new WaitingItems("s", Long.MAX_VALUE, waiting), nowNanos());
        if (nowMillis % 100 == 0) {
            coordinator.sampleLoads(group -> true, nowNanos());
        }
        coordinator.assign(group -> true, nowNanos()).forEach(command -> execute(command, open));
        if (nowMillis % 2000 == 0) {
            saveCheckpoints(open);
        }
    }

    private void execute(CoordinatorCommand command, List<OwnedBatch> open) {
        if (command instanceof CoordinatorCommand.Yield yield) {
            yield.runs().forEach(run -> dispatch.find(run).ifPresent(placed -> end(placed, RunEnd.YIELDED)));
        } else if (command instanceof CoordinatorCommand.Grant grant) {
            Optional<PlacedItem> started = dispatch.startAt(
                    fleet.find(grant.endpoint()).orElseThrow().entry(), grant.pressure(), open, nowNanos(), nowMillis);
            if (started.isEmpty()) {
                coordinator.grantReturned(OWNER, grant.reservation(), nowNanos());
                return;
            }
            PlacedItem run = started.get();
            generatedEvents -= run.item().lastEventId().orElse(0L);
            eventFractions.put(run, 0.0);
            coordinator.itemStarted(
                    OWNER,
                    new ItemStart(grant.reservation(), run.number(), grant.endpoint(), run.timing()),
                    nowNanos());
        }
    }

    private void saveCheckpoints(List<OwnedBatch> open) {
        for (OwnedBatch batch : open) {
            batch.checkpoints(Integer.MAX_VALUE)
                    .forEach(item -> savedCheckpoints.put(batch.id() + "/" + item.id(), item));
        }
    }

    private void advance(PlacedItem run) {
        if (run.elapsedNanos(nowNanos()) < TimeUnit.MILLISECONDS.toNanos(STARTUP_MILLIS)) {
            return;
        }
        double events = eventFractions.get(run) + TICK_MILLIS / EVENT_MILLIS;
        int length = eventsByItem.get(key(run));
        while (events >= 1 && run.item().lastEventId().orElse(0L) < length) {
            long next = run.item().lastEventId().orElse(0L) + 1;
            run.item().appendEvent(Optional.of(next), "w".repeat(EVENT_CHARACTERS));
            events--;
        }
        eventFractions.put(run, events);
        if (run.item().lastEventId().orElse(0L) >= length) {
            doneItems++;
            long lateMillis = nowMillis - run.batch().record().acceptedAtMillis() - DUE_MILLIS;
            onTimeItems += lateMillis <= READ_GRACE_MILLIS ? 1 : 0;
            end(run, RunEnd.COMPLETED);
        }
    }

    private void end(PlacedItem run, RunEnd end) {
        eventFractions.remove(run);
        generatedEvents += run.item().lastEventId().orElse(0L);
        dispatch.runEnded(run, end, AttemptEnd.ABANDONED, nowNanos());
        coordinator.itemEnded(OWNER, run.number(), AttemptEnd.ABANDONED, nowNanos());
    }

    private static String key(PlacedItem run) {
        return run.batch().id() + "/" + run.item().item().id();
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private static Route route() {
        return new Route(
                "batch",
                "h",
                "/b/",
                RouteKind.BATCH,
                List.of(new RouteTarget("s", 1)),
                15_000,
                500,
                3,
                2,
                true,
                true,
                200,
                DUE_MILLIS,
                60_000,
                false);
    }
}
