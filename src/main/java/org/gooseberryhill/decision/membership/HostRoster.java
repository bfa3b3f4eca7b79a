package org.gooseberryhill.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;

/**
 * Tracks which other hosts are alive, from the host list in the key-value store, where each host is registered under
 * its lease, and from the reports that hosts send each other. Not thread-safe.
 *
 * <p>Neither source is sufficient. Entries of the list expire during an outage of the key-value store although their
 * hosts are alive, and they outlive a lost host by up to the length of a lease, or of an outage. Invariants:
 *
 * <ul>
 *   <li>A host that has reported recently is alive, whatever the list says.
 *   <li>A host that has disappeared from the list counts as alive only while its reports keep arriving.
 *   <li>A listed host that has been silent for long counts as lost only while a majority of the hosts is heard: a host
 *       that hears only a minority is itself partitioned, or has just resumed from a suspension.
 * </ul>
 *
 * <p>Store hosts send no reports; for them the list alone decides.
 */
public final class HostRoster {
    /**
     * Silence after which a host is no longer asked for help. Hosts report each second, so three reports are missing
     * by then.
     */
    private static final long SILENT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(3500);

    /** Silence after which a host counts as lost: the length of a lease, by which five reports are missing. */
    private static final long LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private final HostId self;
    private final String selfProcessStart;
    private final Map<HostId, LastReport> lastReports = new HashMap<>();
    private final Set<HostId> reportedSilent = new HashSet<>();
    private final Map<HostId, ListedHost> lapsedHosts = new HashMap<>();
    private Map<HostId, ListedHost> listedHosts = Map.of();
    private List<Host> diskHosts = List.of();

    /**
     * Creates a roster without other hosts.
     *
     * @param selfProcessStart distinguishes this host's process from earlier processes on it
     */
    public HostRoster(HostId self, String selfProcessStart) {
        this.self = self;
        this.selfProcessStart = selfProcessStart;
    }

    /** Replaces the list of live hosts with a new reading from the key-value store. */
    public void updateListedHosts(Collection<ListedHost> live, long nowNanos) {
        Map<HostId, ListedHost> others = new LinkedHashMap<>();
        live.stream()
                .filter(entry -> entry.host().role() != Role.STORE)
                .filter(entry -> !entry.host().id().equals(self))
                .forEach(entry -> others.put(entry.host().id(), entry));
        diskHosts = live.stream()
                .map(ListedHost::host)
                .filter(host -> host.role() == Role.STORE)
                .toList();
        lapsedHosts.putAll(knownHosts(nowNanos));
        lapsedHosts.keySet().removeAll(others.keySet());
        listedHosts = others;
    }

    /** Records a report from a host. */
    public void recordReport(HostId from, HostReport report, long nowNanos) {
        lastReports.put(from, new LastReport(report, nowNanos));
    }

    /** Records an answer from a host; it counts as a sign of life if the host has reported before. */
    public void recordAnswer(HostId from, long nowNanos) {
        lastReports.computeIfPresent(from, (host, last) -> new LastReport(last.report, nowNanos));
    }

    /** Returns the hosts that have become silent, each once until it is heard again. */
    public List<HostId> takeNewlySilent(long nowNanos) {
        List<HostId> silent = lastReports.entrySet().stream()
                .filter(entry -> !entry.getValue().isFresh(nowNanos) && reportedSilent.add(entry.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        reportedSilent.removeIf(host -> isHeard(host, report -> true, nowNanos));
        lapsedHosts.keySet().removeAll(reportedSilent);
        lastReports.keySet().removeIf(host -> reportedSilent.contains(host) && !listedHosts.containsKey(host));
        reportedSilent.retainAll(lastReports.keySet());
        return silent;
    }

    /** Returns the process starts of all hosts that are alive now, this one included, by host id. */
    public Map<String, String> liveProcessStarts(long nowNanos) {
        Map<String, String> starts = new HashMap<>();
        boolean majorityHeard = isMajorityHeard(nowNanos);
        knownHosts(nowNanos).forEach((id, entry) -> {
            if (!(majorityHeard && isLongSilent(id, nowNanos))) {
                starts.put(id.value(), entry.processStart());
            }
        });
        lastReports.forEach((id, last) -> {
            if (last.isFresh(nowNanos)) {
                starts.put(id.value(), last.report.processStart());
            }
        });
        starts.put(self.value(), selfProcessStart);
        return starts;
    }

    /** Returns the other gateways that are listed, or were listed and are still heard. */
    public List<Host> gateways(long nowNanos) {
        List<Host> gateways = new ArrayList<>();
        for (ListedHost entry : knownHosts(nowNanos).values()) {
            if (entry.host().role() == Role.GATEWAY) {
                gateways.add(entry.host());
            }
        }
        return gateways;
    }

    /** Returns the listed hosts with a disk. */
    public List<Host> diskHosts() {
        return diskHosts;
    }

    /** Returns the other gateways that were heard recently and are not stopping. */
    public List<Host> activeGateways(long nowNanos) {
        return heardGateways(report -> !report.leaving(), nowNanos);
    }

    /**
     * Returns the other gateways that may call the key-value store on behalf of this host: those that reach it, or all
     * listed gateways while none has been heard. The fallback serves a host that starts while it cannot reach the
     * key-value store: it is on no list yet and therefore receives no reports.
     */
    public List<Host> gatewaysReachingKeyValueStore(long nowNanos) {
        boolean noneIsHeard = heardGateways(report -> true, nowNanos).isEmpty();
        return noneIsHeard ? gateways(nowNanos) : heardGateways(HostReport::storeReached, nowNanos);
    }

    /** Returns a host, other than a store host, that is listed, or was listed and is still heard. */
    public Optional<Host> find(HostId id, long nowNanos) {
        return Optional.ofNullable(knownHosts(nowNanos).get(id)).map(ListedHost::host);
    }

    private List<Host> heardGateways(Predicate<HostReport> condition, long nowNanos) {
        return gateways(nowNanos).stream()
                .filter(host -> isHeard(host.id(), condition, nowNanos))
                .toList();
    }

    /** Returns the listed hosts and those that have disappeared from the list but are still heard. */
    private Map<HostId, ListedHost> knownHosts(long nowNanos) {
        if (lapsedHosts.isEmpty()) {
            return listedHosts;
        }
        Map<HostId, ListedHost> known = new LinkedHashMap<>(listedHosts);
        lapsedHosts.forEach((id, entry) -> {
            Predicate<HostReport> sameProcessStaying =
                    report -> !report.leaving() && report.processStart().equals(entry.processStart());
            if (isHeard(id, sameProcessStaying, nowNanos)) {
                known.putIfAbsent(id, entry);
            }
        });
        return known;
    }

    private boolean isMajorityHeard(long nowNanos) {
        long heardCount = listedHosts.keySet().stream()
                .filter(id -> isHeard(id, report -> true, nowNanos))
                .count();
        int hostCount = listedHosts.size() + 1;
        return (heardCount + 1) * 2 > hostCount;
    }

    private boolean isLongSilent(HostId id, long nowNanos) {
        LastReport last = lastReports.get(id);
        return last != null && nowNanos - last.heardAtNanos >= LOST_AFTER_NANOS;
    }

    private boolean isHeard(HostId id, Predicate<HostReport> condition, long nowNanos) {
        LastReport last = lastReports.get(id);
        return last != null && last.isFresh(nowNanos) && condition.test(last.report);
    }

    /** The latest report of a host and when the host was last heard. */
    private record LastReport(HostReport report, long heardAtNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - heardAtNanos < SILENT_AFTER_NANOS;
        }
    }
}
