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
 * Holds all endpoints in a host's directory, by identity and by service. Not thread-safe.
 *
 * <p>Invariants: an endpoint that left the directory or registered as leaving gets no new requests from the moment that
 * the host learns of it; failures never eject more than half of the endpoints of a service, since a network partition
 * of this host looks like a failure of all of them; the reports of a lost host no longer count.
 */
public final class Fleet {
    private final ConnectionView connections;
    private final Map<EndpointKey, FleetEndpoint> byKey = new TreeMap<>();
    private final Map<HostId, Report> reports = new HashMap<>();
    private final Map<EndpointKey, InFlight> ownInFlight = new TreeMap<>();
    private final List<HealthChange> healthChanges = new ArrayList<>();
    private Map<String, List<FleetEndpoint>> byService = Map.of();

    /** Creates a fleet without endpoints, on a host without idle connections. */
    public Fleet() {
        this(ConnectionView.NONE);
    }

    /** Creates a fleet without endpoints, on a host that keeps the idle connections of the given view. */
    public Fleet(ConnectionView connections) {
        this.connections = connections;
    }

    /** Replaces the directory; the state of endpoints that remain registered is kept. */
    public void updateDirectory(Collection<EndpointEntry> entries) {
        Map<EndpointKey, EndpointEntry> listed = new TreeMap<>();
        entries.forEach(entry -> listed.put(entry.key(), entry));
        byKey.keySet().retainAll(listed.keySet());
        Map<String, List<FleetEndpoint>> services = new HashMap<>();
        for (EndpointEntry entry : listed.values()) {
            FleetEndpoint endpoint = byKey.computeIfAbsent(entry.key(), key -> newEndpoint(entry));
            endpoint.setEntry(entry);
            services.computeIfAbsent(entry.service(), service -> new ArrayList<>())
                    .add(endpoint);
        }
        byService = services;
    }

    /** Applies the report of another host on all requests that it has in flight. */
    public void updateReport(HostId host, Map<EndpointKey, InFlight> inFlight, long nowNanos) {
        Report earlierReport = reports.put(host, new Report(Map.copyOf(inFlight), nowNanos));
        inFlight.keySet().forEach(this::updateOtherHostsInFlight);
        updateEndpointsNoLongerReported(earlierReport, inFlight);
    }

    /** Removes the report of a lost host: none of its requests count as in flight any longer. */
    public void removeReport(HostId host) {
        updateEndpointsNoLongerReported(reports.remove(host), Map.of());
    }

    /**
     * Returns a snapshot of a service: the numbers of all and of the usable endpoints, the slots of the usable ones and
     * the requests in flight there, and the age of the oldest report.
     */
    public ServiceState serviceState(String service, long nowNanos) {
        List<FleetEndpoint> usable = usableEndpoints(service, nowNanos);
        long oldestNanos = reports.values().stream()
                .mapToLong(report -> nowNanos - report.receivedNanos)
                .max()
                .orElse(0);
        return new ServiceState(
                endpointsOf(service).size(),
                usable.size(),
                usable.stream().mapToInt(endpoint -> endpoint.entry().slots()).sum(),
                usable.stream().mapToInt(FleetEndpoint::online).sum(),
                usable.stream().mapToInt(FleetEndpoint::batch).sum(),
                TimeUnit.NANOSECONDS.toMillis(oldestNanos));
    }

    /** Returns the endpoints of a service that may get new requests now. */
    public List<FleetEndpoint> usableEndpoints(String service, long nowNanos) {
        List<FleetEndpoint> usable = new ArrayList<>();
        for (FleetEndpoint endpoint : endpointsOf(service)) {
            if (endpoint.isUsable(nowNanos)) {
                usable.add(endpoint);
            }
        }
        return usable;
    }

    /** Returns the number of hosts that share the endpoints: those that report, and this one. */
    public int hostCount() {
        return reports.size() + 1;
    }

    /** Returns the endpoints of a service in a fixed order. */
    public List<FleetEndpoint> endpointsOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns all endpoints. */
    public Collection<FleetEndpoint> all() {
        return byKey.values();
    }

    /** Returns an endpoint if it is still in the directory. */
    public Optional<FleetEndpoint> find(EndpointKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Returns the requests that this host has in flight, for its report to other hosts. The counts are kept
     * independently of the directory, so that a registration that lapses and returns does not lose running requests.
     */
    public Map<EndpointKey, InFlight> ownInFlight() {
        return Map.copyOf(ownInFlight);
    }

    void onlineStarted(EndpointKey key) {
        addOwnInFlight(key, 1, 0);
    }

    void onlineEnded(EndpointKey key) {
        addOwnInFlight(key, -1, 0);
    }

    /** Adds an item of a request batch that starts at an endpoint to the number that this host has in flight there. */
    public void batchStarted(EndpointKey key) {
        addOwnInFlight(key, 0, 1);
    }

    /**
     * Subtracts an item of a request batch whose run at an endpoint has ended, successfully or not, from the number
     * that this host has in flight there.
     */
    public void batchEnded(EndpointKey key) {
        addOwnInFlight(key, 0, -1);
    }

    /**
     * Returns how many of its items a host has to stop at an endpoint that has more requests in flight than slots. All
     * hosts with items there compute it from the same counts: the hosts with the most items yield first, so that not
     * every host yields to the same request.
     */
    public int yieldShare(FleetEndpoint endpoint, HostId self) {
        int excess = Math.min(-endpoint.freeSlots(), endpoint.batch());
        if (excess <= 0) {
            return 0;
        }
        Map<HostId, Integer> items = new TreeMap<>();
        items.put(self, endpoint.ownInFlight().batch());
        reports.forEach(
                (host, report) -> items.put(host, report.at(endpoint.key()).batch()));
        Comparator<Map.Entry<HostId, Integer>> mostItemsFirst = Map.Entry.comparingByValue(Comparator.reverseOrder());
        List<Map.Entry<HostId, Integer>> order =
                items.entrySet().stream().sorted(mostItemsFirst).toList();
        for (Map.Entry<HostId, Integer> entry : order) {
            if (entry.getKey().equals(self)) {
                return Math.min(excess, entry.getValue());
            }
            excess -= Math.min(excess, entry.getValue());
        }
        return 0;
    }

    /** Updates the health of an endpoint by the end of an attempt there. */
    public void attemptEnded(EndpointKey key, AttemptEnd end, long nowNanos) {
        find(key).ifPresent(endpoint -> recordAttemptEnd(endpoint, end, nowNanos));
    }

    /** Starts the due connection probes and returns their endpoints; {@link #probeEnded} must follow for each. */
    public List<FleetEndpoint> startDueProbes(long nowNanos) {
        List<FleetEndpoint> due = new ArrayList<>();
        for (FleetEndpoint endpoint : byKey.values()) {
            if (endpoint.health().startProbeIfDue(nowNanos)) {
                due.add(endpoint);
            }
        }
        return due;
    }

    /** Records the result of a connection probe of an endpoint. */
    public void probeEnded(EndpointKey key, boolean reached, long nowNanos) {
        find(key).ifPresent(endpoint -> {
            endpoint.health().onProbeEnded(reached, nowNanos);
            if (reached) {
                healthChanges.add(new HealthChange(key, false, AttemptEnd.ANSWERED, 0));
            }
        });
    }

    /** Returns and clears the ejections and readmissions of endpoints since the last call. */
    public List<HealthChange> takeHealthChanges() {
        if (healthChanges.isEmpty()) {
            return List.of();
        }
        List<HealthChange> changes = List.copyOf(healthChanges);
        healthChanges.clear();
        return changes;
    }

    private void recordAttemptEnd(FleetEndpoint endpoint, AttemptEnd end, long nowNanos) {
        EndpointHealth health = endpoint.health();
        boolean wasEjected = health.isEjected(nowNanos);
        applyToHealth(health, endpoint, end, nowNanos);
        if (health.isEjected(nowNanos) != wasEjected) {
            healthChanges.add(
                    new HealthChange(endpoint.key(), !wasEjected, end, health.remainingEjectionMillis(nowNanos)));
        }
    }

    private void applyToHealth(EndpointHealth health, FleetEndpoint endpoint, AttemptEnd end, long nowNanos) {
        switch (end) {
            case ANSWERED -> health.onSuccess();
            case BUSY -> health.onBusy(nowNanos);
            case UNREACHABLE -> ifEjectionAllowed(endpoint, nowNanos, health::onUnreachable);
            case OTHER_ENDPOINT -> ifEjectionAllowed(endpoint, nowNanos, health::onMisdirected);
            case CUT, SILENT, ERROR_ANSWER, MALFORMED -> ifEjectionAllowed(endpoint, nowNanos, health::onFailure);
            case ABANDONED, DROPPED -> {
                // Ended by this host: says nothing about the endpoint.
            }
            default -> throw new IllegalStateException("unknown attempt end " + end);
        }
    }

    private void ifEjectionAllowed(FleetEndpoint endpoint, long nowNanos, Consumer<Long> action) {
        List<FleetEndpoint> peers = endpointsOf(endpoint.entry().service());
        long ejected = peers.stream().filter(peer -> peer.isEjected(nowNanos)).count();
        if ((ejected + 1) * 2 <= peers.size()) {
            action.accept(nowNanos);
        }
    }

    private void addOwnInFlight(EndpointKey key, int online, int batch) {
        InFlight before = ownInFlight.getOrDefault(key, InFlight.NONE);
        InFlight after = new InFlight(before.online() + online, before.batch() + batch);
        if (after.total() == 0) {
            ownInFlight.remove(key);
        } else {
            ownInFlight.put(key, after);
        }
        find(key).ifPresent(endpoint -> endpoint.setOwnInFlight(after));
    }

    private FleetEndpoint newEndpoint(EndpointEntry entry) {
        FleetEndpoint endpoint = new FleetEndpoint(entry, connections);
        endpoint.setOwnInFlight(ownInFlight.getOrDefault(entry.key(), InFlight.NONE));
        updateOtherHostsInFlight(endpoint);
        return endpoint;
    }

    /** Recounts the endpoints that the earlier report of a host contained and its current one does not. */
    private void updateEndpointsNoLongerReported(Report earlierReport, Map<EndpointKey, InFlight> reportedNow) {
        if (earlierReport == null) {
            return;
        }
        for (EndpointKey key : earlierReport.inFlight.keySet()) {
            if (!reportedNow.containsKey(key)) {
                updateOtherHostsInFlight(key);
            }
        }
    }

    private void updateOtherHostsInFlight(EndpointKey key) {
        FleetEndpoint endpoint = byKey.get(key);
        if (endpoint != null) {
            updateOtherHostsInFlight(endpoint);
        }
    }

    private void updateOtherHostsInFlight(FleetEndpoint endpoint) {
        int online = 0;
        int batch = 0;
        for (Report report : reports.values()) {
            InFlight inFlight = report.at(endpoint.key());
            online += inFlight.online();
            batch += inFlight.batch();
        }
        endpoint.setOtherHostsInFlight(new InFlight(online, batch));
    }

    /** The requests that a host had in flight, and when its report arrived. */
    private record Report(Map<EndpointKey, InFlight> inFlight, long receivedNanos) {
        InFlight at(EndpointKey endpoint) {
            return inFlight.getOrDefault(endpoint, InFlight.NONE);
        }
    }
}
