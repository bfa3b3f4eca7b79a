package org.gooseberryhill.decision.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.ClientLimits;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Replays online requests and request batches on several hosts through the product's decisions, in virtual time.
 *
 * <p>The load is that of the sites in use: streams with prompts of about 450 tokens, with a load peak of 2.4 s in each
 * period of 6 s; batches of about 10 items, which are due after 18 s. Callers use some hosts more than others.
 */
final class ServingReplay {
    static final String SERVICE = "s";

    private static final double LOAD_PERIOD_MILLIS = 6000;
    private static final double TROUGH_MILLIS = 3600;
    private static final double TROUGH_RATE_FACTOR = 0.391;
    private static final double PEAK_RATE_FACTOR = 1.91;
    private static final long BATCH_DUE_MILLIS = 18_000;

    /** How long after the due time of its batch an item still counts as done in time. */
    private static final long READ_GRACE_MILLIS = 700;

    private static final double MILLIS_PER_SECOND = 1000;

    private static final double HOST_LOSS_MILLIS = 1100;
    private static final double REGISTRATION_MILLIS = 2000;
    private static final double SAMPLE_MILLIS = 50;
    private static final double EVENTS_DEVIATION = 0.25;

    private final VirtualClock clock = new VirtualClock();
    private final ReplaySize size;
    private final Optional<ReplayZones> zones;
    private final ReplayNetwork network;
    private final ReplayCounts counts = new ReplayCounts();
    private final Random random;
    private final Map<EndpointKey, ReplayEndpoint> endpoints = new LinkedHashMap<>();
    private final List<ReplayHost> hosts = new ArrayList<>();
    private final List<ReplayCall> calls = new ArrayList<>();
    private final Route streamRoute = route(RouteKind.STREAM, "/p/", 0);
    private final Route batchRoute = route(RouteKind.BATCH, "/b/", 2);
    private final double startMillis = clock.nowMillis();
    private List<Double> demandByZone = List.of();
    private AccountLoad accounts = AccountLoad.NONE;
    private int batchCount;
    private int items;
    private int itemsOnTime;

    ServingReplay(ReplaySize size, ReplayPolicies policies, long seed) {
        this(size, Optional.empty(), policies, seed);
    }

    ServingReplay(ReplaySize size, ReplayZones zones, ReplayPolicies policies, long seed) {
        this(size, Optional.of(zones), policies, seed);
    }

    private ServingReplay(ReplaySize size, Optional<ReplayZones> zones, ReplayPolicies policies, long seed) {
        this.size = size;
        this.zones = zones;
        random = new Random(seed);
        for (int i = 0; i < size.endpoints(); i++) {
            EndpointEntry entry = new EndpointEntry(
                    "e" + i,
                    1,
                    SERVICE,
                    "v1",
                    new Address("10.0.0.1", 8000 + i),
                    zoneOfEndpoint(i),
                    size.slots(),
                    false,
                    0);
            endpoints.put(entry.key(), new ReplayEndpoint(clock, entry, size.tokensPerEvent(), counts));
        }
        network = new ReplayNetwork(clock, counts, new Random(seed), zones);
        RouteTable routes = new RouteTable(
                new RouteConfiguration(1, List.of(streamRoute, batchRoute), Map.of(), ClientLimits.DEFAULT));
        for (int i = 0; i < size.hosts(); i++) {
            Host host = new Host(
                    new HostId("host-" + seed + "-" + i),
                    Role.GATEWAY,
                    zone(i),
                    new Address("10.0.1.1", 8000 + i),
                    false);
            hosts.add(new ReplayHost(clock, network, host, endpoints, routes, policies, counts, this::itemDone));
        }
        Map<HostId, ReplayHost> byId = new HashMap<>();
        hosts.forEach(host -> byId.put(host.host().id(), host));
        network.setHosts(byId);
        hosts.forEach(host -> host.routing().updateHosts(othersOf(host)));
        clock.schedule(SAMPLE_MILLIS, this::sample);
    }

    private List<Host> othersOf(ReplayHost host) {
        return hosts.stream()
                .filter(other -> other != host && !other.process().isLost())
                .map(ReplayHost::host)
                .toList();
    }

    /** Returns the network, whose links may be changed. */
    ReplayNetwork network() {
        return network;
    }

    VirtualClock clock() {
        return clock;
    }

    /** Returns the number of the time since the start, in milliseconds. */
    long elapsedMillis(long atMillis) {
        return (long) (atMillis - startMillis);
    }

    /** Loses the host that coordinates the first group; the others know it after about the time that membership takes. */
    void loseCoordinator() {
        GroupRouting routing = hosts.get(0).routing();
        HostId lost = routing.coordinator(routing.groups().of(SERVICE).get(0)).id();
        network.lose(lost);
        hosts.removeIf(host -> host.host().id().equals(lost));
        clock.schedule(HOST_LOSS_MILLIS, () -> hosts.forEach(host -> host.removeHost(lost, othersOf(host))));
    }

    /** Ends all endpoints of a zone; their registrations lapse later. */
    void loseEndpoints(int zone) {
        List<EndpointEntry> left = new ArrayList<>();
        for (ReplayEndpoint endpoint : endpoints.values()) {
            if (endpoint.entry().zone().equals(zone(zone))) {
                endpoint.end();
            } else {
                left.add(endpoint.entry());
            }
        }
        clock.schedule(REGISTRATION_MILLIS, () -> setEndpoints(left));
    }

    /** Replaces the directory of all hosts, which learn of it within some milliseconds of each other. */
    void setEndpoints(List<EndpointEntry> entries) {
        hosts.forEach(host -> clock.schedule(20 * random.nextDouble(), () -> host.setEndpoints(entries)));
    }

    /** Replaces the accounts that send calls from now on. */
    void setAccounts(AccountLoad newAccounts) {
        accounts = newAccounts;
    }

    List<EndpointEntry> entries() {
        return endpoints.values().stream().map(ReplayEndpoint::entry).toList();
    }

    ReplayCounts counts() {
        return counts;
    }

    /** Advances the time while requests and batches arrive at a multiple of the mean rates. */
    void load(double seconds, double factor) {
        load(MILLIS_PER_SECOND * seconds, factor * size.streamsPerSecond(), factor * size.batchesPerSecond());
    }

    /** Advances the time while requests and batches arrive at the given mean rates. */
    private void load(double millis, double streamsPerSecond, double batchesPerSecond) {
        double untilMillis = clock.nowMillis() + millis;
        double expectedStreams = 0;
        double expectedBatches = 0;
        while (clock.nowMillis() < untilMillis) {
            expectedStreams += streamsPerSecond * accounts.rateFactor() * relativeRate() / MILLIS_PER_SECOND;
            expectedBatches += batchesPerSecond / MILLIS_PER_SECOND;
            while (expectedStreams > random.nextDouble()) {
                expectedStreams--;
                startCall();
            }
            while (expectedBatches > random.nextDouble()) {
                expectedBatches--;
                submitBatch();
            }
            clock.advance(1);
        }
    }

    /** Advances the time without new arrivals until all work has ended. */
    void finish() {
        clock.advance(2 * BATCH_DUE_MILLIS);
    }

    /** Returns the host that a caller uses; the first ones serve up to twice the mean number of callers. */
    ReplayHost randomHost() {
        ReplayHost host;
        do {
            host = hosts.get((int) (hosts.size() * random.nextDouble() * Math.max(random.nextDouble(), 0.5)));
        } while (host.process().isLost() || isOutsideDemand(host));
        return host;
    }

    private boolean isOutsideDemand(ReplayHost host) {
        return !demandByZone.isEmpty() && random.nextDouble() > demandByZone.get(hosts.indexOf(host) % size.zones());
    }

    /** Sets the demand of the zones, each relative to the one with the greatest demand. */
    void setDemandByZone(List<Double> demand) {
        demandByZone = demand;
    }

    List<ReplayEndpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    List<ReplayHost> hosts() {
        return hosts;
    }

    List<ReplayCall> calls() {
        return calls;
    }

    /** Ends an endpoint, which all hosts learn at once. */
    void lose(ReplayEndpoint endpoint) {
        endpoints.remove(endpoint.entry().key());
        List<EndpointEntry> entries =
                endpoints.values().stream().map(ReplayEndpoint::entry).toList();
        hosts.forEach(host -> host.setEndpoints(entries));
        endpoint.lose();
    }

    /** Ends a host, which the others learn at once; the requests that it had are lost with it. */
    void lose(ReplayHost lost) {
        lost.process().lose();
        hosts.stream()
                .filter(host -> !host.process().isLost())
                .forEach(host -> host.removeHost(lost.host().id(), othersOf(host)));
    }

    /** Returns the host that a caller in a zone uses. */
    ReplayHost randomHost(int zone) {
        if (zones.isEmpty()) {
            return randomHost();
        }
        ReplayHost host = randomHost();
        while (!host.host().zone().equals(zone(zone))) {
            host = randomHost();
        }
        return host;
    }

    /** Returns the host that the account of a call uses; a random one if it uses all. */
    ReplayHost hostOf(ReplayCall call) {
        return accounts.pinned(call.account())
                .map(number -> hosts.get(number % hosts.size()))
                .orElseGet(() -> randomHost(call.zone()));
    }

    /** Returns the outcome of the load so far. */
    ReplayResult result() {
        return new ReplayResult(
                calls.size(),
                count(ReplayCall::isOnTime),
                count(ReplayCall::isOnTimeAfterRefusal),
                count(ReplayCall::isServed),
                count(ReplayCall::isRefusedTwice),
                items,
                itemsOnTime);
    }

    private int count(Predicate<ReplayCall> condition) {
        return (int) calls.stream().filter(condition).count();
    }

    private double relativeRate() {
        double factor = streamRateFactor();
        return zones.map(all -> IntStream.range(0, all.count())
                        .mapToDouble(zone -> all.relativeRate(zone, factor))
                        .sum())
                .orElse(factor);
    }

    private int randomZone() {
        if (zones.isEmpty()) {
            return 0;
        }
        double factor = streamRateFactor();
        double left = random.nextDouble() * relativeRate();
        int zone = 0;
        while (zone < zones.get().count() - 1 && left >= zones.get().relativeRate(zone, factor)) {
            left -= zones.get().relativeRate(zone, factor);
            zone++;
        }
        return zone;
    }

    private double streamRateFactor() {
        double millisIntoPeriod = (clock.nowMillis() - startMillis) % LOAD_PERIOD_MILLIS;
        return millisIntoPeriod >= TROUGH_MILLIS ? PEAK_RATE_FACTOR : TROUGH_RATE_FACTOR;
    }

    private void startCall() {
        double promptTokens = 150 + 600 * random.nextDouble();
        int events = events(size.streamEvents());
        ReplayCall call =
                new ReplayCall(clock, this, streamRoute, accounts.next(random), randomZone(), promptTokens, events);
        calls.add(call);
        call.startAttempt();
    }

    private void submitBatch() {
        String id = "b" + batchCount++;
        int itemCount = 4 + random.nextInt(13);
        BatchRecord record = new BatchRecord(
                "h",
                "/b/1",
                "hash",
                "owner",
                "1",
                clock.nowMillis(),
                1,
                itemCount,
                false,
                List.of(),
                0,
                Optional.empty());
        List<BatchItem> batchItems = new ArrayList<>();
        List<Integer> events = new ArrayList<>();
        for (int i = 0; i < itemCount; i++) {
            batchItems.add(new BatchItem("i" + i, "/b/1/" + i, Map.of(), new byte[0], 100));
            events.add(events(size.itemEvents()));
        }
        items += itemCount;
        randomHost().addBatch(new OwnedBatch(id, record, 1, batchItems, List.of()), events);
    }

    private int events(int mean) {
        return (int) Math.max(5, mean * (1 + EVENTS_DEVIATION * random.nextGaussian()));
    }

    private AvailabilityZone zoneOfEndpoint(int number) {
        return zones.map(all -> zone(all.zoneOfEndpoint(number))).orElseGet(() -> zone(number));
    }

    AvailabilityZone zone(int number) {
        return new AvailabilityZone("zone-" + number % size.zones());
    }

    /** Samples how many slots are busy, and the items at the endpoints. */
    private void sample() {
        boolean itemsWait = hosts.stream().anyMatch(ReplayHost::hasWaitingItems);
        for (ReplayEndpoint endpoint : endpoints.values()) {
            if (itemsWait) {
                counts.busySlotSamples += endpoint.running();
                counts.slotSamples += size.slots();
            }
        }
        clock.schedule(SAMPLE_MILLIS, this::sample);
    }

    private void itemDone(OwnedBatch batch) {
        long lateMillis = clock.nowMillis() - batch.record().acceptedAtMillis() - BATCH_DUE_MILLIS;
        itemsOnTime += lateMillis <= READ_GRACE_MILLIS ? 1 : 0;
    }

    private static Route route(RouteKind kind, String prefix, int priority) {
        boolean batch = kind == RouteKind.BATCH;
        return new Route(
                kind.name(),
                "h",
                prefix,
                kind,
                List.of(new RouteTarget(SERVICE, 1)),
                5000,
                300,
                2,
                priority,
                true,
                true,
                200,
                batch ? BATCH_DUE_MILLIS : 0,
                batch ? 60_000 : 0,
                false);
    }
}
