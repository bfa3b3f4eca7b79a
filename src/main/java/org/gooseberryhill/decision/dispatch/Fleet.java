package org.gooseberryhill.decision.dispatch;

import java.util.ArrayList;
import java.util.Collection;
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
    private final Map<EndpointKey, FleetEndpoint> byKey = new TreeMap<>();
    private final Map<HostId, Report> reports = new HashMap<>();
    private final Map<EndpointKey, InFlight> ownInFlight = new TreeMap<>();
    private final List<HealthChange> healthChanges = new ArrayList<>();
    private Map<String, List<FleetEndpoint>> byService = Map.of();

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

    /** Replaces what is known of the requests that another host has in flight. */
    public void updateReport(HostId host, Map<EndpointKey, InFlight> inFlight, long nowNanos) {
        removeReport(host);
        Report report = new Report(nowNanos);
        reports.put(host, report);
        inFlight.forEach((key, count) -> addInFlight(report, key, count.online(), count.batch()));
    }

    /** Removes what is known of a lost host: none of its requests count as in flight any longer. */
    public void removeReport(HostId host) {
        Report report = reports.remove(host);
        if (report != null) {
            report.inFlight.forEach((key, count) ->
                    find(key).ifPresent(endpoint -> endpoint.addOtherHostsInFlight(-count.online(), -count.batch())));
        }
    }

    /** Adds to the online requests that another host has in flight at an endpoint; the count stays at least 0. */
    public void addOnline(HostId host, EndpointKey key, int change, long nowNanos) {
        Report report = reports.computeIfAbsent(host, id -> new Report(nowNanos));
        int before = report.at(key).online();
        addInFlight(report, key, Math.max(0, before + change) - before, 0);
    }

    /** Adds to the batch items that another host has in flight at an endpoint; the count stays at least 0. */
    public void addBatch(HostId host, EndpointKey key, int change, long nowNanos) {
        Report report = reports.computeIfAbsent(host, id -> new Report(nowNanos));
        int before = report.at(key).batch();
        addInFlight(report, key, 0, Math.max(0, before + change) - before);
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

    /** Returns the registrations of all endpoints. */
    public List<EndpointEntry> entries() {
        return byKey.values().stream().map(FleetEndpoint::entry).toList();
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
        FleetEndpoint endpoint = new FleetEndpoint(entry);
        endpoint.setOwnInFlight(ownInFlight.getOrDefault(entry.key(), InFlight.NONE));
        for (Report report : reports.values()) {
            InFlight inFlight = report.at(entry.key());
            endpoint.addOtherHostsInFlight(inFlight.online(), inFlight.batch());
        }
        return endpoint;
    }

    private void addInFlight(Report report, EndpointKey key, int online, int batch) {
        InFlight before = report.at(key);
        InFlight after = new InFlight(before.online() + online, before.batch() + batch);
        if (after.total() == 0) {
            report.inFlight.remove(key);
        } else {
            report.inFlight.put(key, after);
        }
        find(key).ifPresent(endpoint -> endpoint.addOtherHostsInFlight(online, batch));
    }

    /** The requests that a host has in flight, and when its report arrived. */
    private static final class Report {
        private final Map<EndpointKey, InFlight> inFlight = new HashMap<>();
        private final long receivedNanos;

        Report(long receivedNanos) {
            this.receivedNanos = receivedNanos;
        }

        InFlight at(EndpointKey endpoint) {
            return inFlight.getOrDefault(endpoint, InFlight.NONE);
        }
    }
}
