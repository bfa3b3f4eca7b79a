package org.gooseberryhill.decision.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/**
 * All endpoints that a host knows, by identity and by service. Not thread-safe.
 *
 * <p>Invariants: an endpoint that left the directory, or registered as leaving, gets nothing new from the moment that the
 * host knows; failures never leave out more than half of a service's endpoints, since a cut at this host looks like a
 * failure of all of them; what a lost host reported counts no more.
 */
public final class Fleet {
    private final ConnectionView connections;
    private final Map<EndpointKey, FleetEndpoint> byKey = new TreeMap<>();
    private final Map<HostId, Report> reports = new HashMap<>();
    private final Map<EndpointKey, InFlight> own = new TreeMap<>();
    private final List<HealthChange> healthChanges = new ArrayList<>();
    private Map<String, List<FleetEndpoint>> byService = Map.of();

    /** No endpoints yet, and no connections to any. */
    public Fleet() {
        this(ConnectionView.NONE);
    }

    /** No endpoints yet, on a host that keeps connections. */
    public Fleet(ConnectionView connections) {
        this.connections = connections;
    }

    /** Takes in the directory; what is known of endpoints that stay is kept. */
    public void directory(Collection<EndpointEntry> entries) {
        Map<EndpointKey, EndpointEntry> listed = new TreeMap<>();
        entries.forEach(entry -> listed.put(entry.key(), entry));
        byKey.keySet().retainAll(listed.keySet());
        Map<String, List<FleetEndpoint>> services = new HashMap<>();
        for (EndpointEntry entry : listed.values()) {
            FleetEndpoint endpoint = byKey.computeIfAbsent(entry.key(), key -> newEndpoint(entry));
            endpoint.entry(entry);
            services.computeIfAbsent(entry.service(), service -> new ArrayList<>())
                    .add(endpoint);
        }
        byService = services;
    }

    /** A host's report of all that it has in flight. */
    public void reported(HostId host, Map<EndpointKey, InFlight> inFlight, long nowNanos) {
        Report before = reports.put(host, new Report(Map.copyOf(inFlight), nowNanos));
        inFlight.keySet().forEach(this::sumUp);
        sumUpMissing(before, inFlight);
    }

    /** A host is lost: nothing of it is in flight any more. */
    public void lost(HostId host) {
        sumUpMissing(reports.remove(host), Map.of());
    }

    /** What is known of a service now. */
    public ServiceState state(String service, long nowNanos) {
        List<FleetEndpoint> usable = usable(service, nowNanos);
        long oldestNanos = reports.values().stream()
                .mapToLong(report -> nowNanos - report.atNanos)
                .max()
                .orElse(0);
        return new ServiceState(
                of(service).size(),
                usable.size(),
                usable.stream().mapToInt(endpoint -> endpoint.entry().slots()).sum(),
                usable.stream().mapToInt(FleetEndpoint::online).sum(),
                usable.stream().mapToInt(FleetEndpoint::batch).sum(),
                TimeUnit.NANOSECONDS.toMillis(oldestNanos));
    }

    /** The endpoints of a service that may get new requests now. */
    public List<FleetEndpoint> usable(String service, long nowNanos) {
        List<FleetEndpoint> usable = new ArrayList<>();
        for (FleetEndpoint endpoint : of(service)) {
            if (endpoint.isUsable(nowNanos)) {
                usable.add(endpoint);
            }
        }
        return usable;
    }

    /** How many hosts share the endpoints: those that report, and this one. */
    public int hosts() {
        return reports.size() + 1;
    }

    /** The endpoints of a service, in a fixed order. */
    public List<FleetEndpoint> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** All endpoints. */
    public Collection<FleetEndpoint> all() {
        return byKey.values();
    }

    /** An endpoint that is still in the directory. */
    public Optional<FleetEndpoint> find(EndpointKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * What this host has in flight, for its report to others. It is kept beside the directory: a registration that
     * lapses and comes back must not lose count of what still runs.
     */
    public Map<EndpointKey, InFlight> own() {
        return Map.copyOf(own);
    }

    void onlineStarted(EndpointKey key) {
        addOwn(key, 1, 0);
    }

    void onlineEnded(EndpointKey key) {
        addOwn(key, -1, 0);
    }

    /** An item of a request batch starts at an endpoint. */
    public void batchStarted(EndpointKey key) {
        addOwn(key, 0, 1);
    }

    /** An item of a request batch ended at an endpoint, in whatever way. */
    public void batchEnded(EndpointKey key) {
        addOwn(key, 0, -1);
    }

    /**
     * How many of its items a host gives back at an endpoint that has more in flight than slots. All hosts with items
     * there work it out alike: those with most items give first, so that not each of them yields to the same request.
     */
    public int yieldShare(FleetEndpoint endpoint, HostId self) {
        int over = Math.min(-endpoint.freeSlots(), endpoint.batch());
        if (over <= 0) {
            return 0;
        }
        Map<HostId, Integer> items = new TreeMap<>();
        items.put(self, endpoint.own().batch());
        reports.forEach(
                (host, report) -> items.put(host, report.at(endpoint.key()).batch()));
        Comparator<Map.Entry<HostId, Integer>> mostFirst = Map.Entry.comparingByValue(Comparator.reverseOrder());
        List<Map.Entry<HostId, Integer>> order =
                items.entrySet().stream().sorted(mostFirst).toList();
        for (Map.Entry<HostId, Integer> entry : order) {
            if (entry.getKey().equals(self)) {
                return Math.min(over, entry.getValue());
            }
            over -= Math.min(over, entry.getValue());
        }
        return 0;
    }

    /** Takes in what the end of an attempt shows of its endpoint. */
    public void observed(EndpointKey key, AttemptEnd end, long nowNanos) {
        find(key).ifPresent(endpoint -> observe(endpoint, end, nowNanos));
    }

    /** The endpoints to which a connection is to be tried now; each must end with {@link #probed}. */
    public List<FleetEndpoint> takeProbes(long nowNanos) {
        List<FleetEndpoint> due = new ArrayList<>();
        for (FleetEndpoint endpoint : byKey.values()) {
            if (endpoint.health().takeProbe(nowNanos)) {
                due.add(endpoint);
            }
        }
        return due;
    }

    /** A connection to an endpoint was tried. */
    public void probed(EndpointKey key, boolean reached, long nowNanos) {
        find(key).ifPresent(endpoint -> {
            endpoint.health().probed(reached, nowNanos);
            if (reached) {
                healthChanges.add(new HealthChange(key, false, AttemptEnd.ANSWERED, 0));
            }
        });
    }

    /** What attempts have changed about which endpoints are left out, since the last call. */
    public List<HealthChange> takeHealthChanges() {
        if (healthChanges.isEmpty()) {
            return List.of();
        }
        List<HealthChange> changes = List.copyOf(healthChanges);
        healthChanges.clear();
        return changes;
    }

    private void observe(FleetEndpoint endpoint, AttemptEnd end, long nowNanos) {
        EndpointHealth health = endpoint.health();
        boolean leftOut = health.isEjected(nowNanos);
        take(health, endpoint, end, nowNanos);
        if (health.isEjected(nowNanos) != leftOut) {
            healthChanges.add(new HealthChange(endpoint.key(), !leftOut, end, health.ejectedMillis(nowNanos)));
        }
    }

    private void take(EndpointHealth health, FleetEndpoint endpoint, AttemptEnd end, long nowNanos) {
        switch (end) {
            case ANSWERED -> health.succeeded();
            case BUSY -> health.busy(nowNanos);
            case UNREACHABLE -> ifOthersLeft(endpoint, nowNanos, health::unreachable);
            case OTHER_ENDPOINT -> ifOthersLeft(endpoint, nowNanos, health::misdirected);
            case CUT, SILENT, ERROR_ANSWER, MALFORMED -> ifOthersLeft(endpoint, nowNanos, health::failed);
            case ABANDONED, DROPPED -> {
                // The host's own doing: it shows nothing of the endpoint.
            }
            default -> throw new IllegalStateException("unknown end " + end);
        }
    }

    private void ifOthersLeft(FleetEndpoint endpoint, long nowNanos, Consumer<Long> action) {
        List<FleetEndpoint> peers = of(endpoint.entry().service());
        long ejected = peers.stream().filter(peer -> peer.isEjected(nowNanos)).count();
        if ((ejected + 1) * 2 <= peers.size()) {
            action.accept(nowNanos);
        }
    }

    private void addOwn(EndpointKey key, int online, int batch) {
        InFlight before = own.getOrDefault(key, InFlight.NONE);
        InFlight after = new InFlight(before.online() + online, before.batch() + batch);
        if (after.total() == 0) {
            own.remove(key);
        } else {
            own.put(key, after);
        }
        find(key).ifPresent(endpoint -> endpoint.own(after));
    }

    private FleetEndpoint newEndpoint(EndpointEntry entry) {
        FleetEndpoint endpoint = new FleetEndpoint(entry, connections);
        endpoint.own(own.getOrDefault(entry.key(), InFlight.NONE));
        sumUp(endpoint);
        return endpoint;
    }

    /** What an earlier report had at endpoints that the one in force does not name any more. */
    private void sumUpMissing(Report before, Map<EndpointKey, InFlight> after) {
        if (before == null) {
            return;
        }
        for (EndpointKey key : before.inFlight.keySet()) {
            if (!after.containsKey(key)) {
                sumUp(key);
            }
        }
    }

    private void sumUp(EndpointKey key) {
        FleetEndpoint endpoint = byKey.get(key);
        if (endpoint != null) {
            sumUp(endpoint);
        }
    }

    private void sumUp(FleetEndpoint endpoint) {
        int online = 0;
        int batch = 0;
        for (Report report : reports.values()) {
            InFlight inFlight = report.at(endpoint.key());
            online += inFlight.online();
            batch += inFlight.batch();
        }
        endpoint.others(new InFlight(online, batch));
    }

    /** What a host had in flight, and when it said so. */
    private record Report(Map<EndpointKey, InFlight> inFlight, long atNanos) {
        InFlight at(EndpointKey endpoint) {
            return inFlight.getOrDefault(endpoint, InFlight.NONE);
        }
    }
}
