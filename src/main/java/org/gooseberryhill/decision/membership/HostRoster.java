package org.gooseberryhill.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
 * its lease, from the reports that hosts send to those that watch them, and from what watchers tell all others. Not
 * thread-safe.
 *
 * <p>Neither source is sufficient. Entries of the list expire during an outage of the key-value store although their
 * hosts are alive, and they outlive a lost host by up to the length of a lease, or of an outage. Invariants:
 *
 * <ul>
 *   <li>A host that has reported recently is alive, whatever the list says.
 *   <li>A host that has disappeared from the list counts as alive only while its reports keep arriving; a host that does not
 *       report to this one, for a while and while its watchers do not say otherwise.
 *   <li>A listed host that has been silent for long counts as lost only while a majority of the watched hosts is heard: a
 *       host that hears only a minority is itself partitioned, or has just resumed from a suspension.
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

    /** Silence after which a host counts as lost: four reports are missing by then. */
    private static final long LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(4200);

    /** Time for which a host that this one does not watch counts as alive after it has disappeared from the list. */
    private static final long MAX_LAPSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10_000);

    private final HostId self;
    private final String selfProcessStart;
    private final SilenceNotices notices = new SilenceNotices();
    private final Map<HostId, LastReport> lastReports = new HashMap<>();
    private final Set<HostId> reportedSilent = new HashSet<>();
    private final Map<HostId, LapsedHost> lapsedHosts = new HashMap<>();
    private Map<HostId, ListedHost> listedHosts = Map.of();
    private Set<HostId> ringMembers = Set.of();
    private WatchRing ring;
    private List<Host> diskHosts = List.of();

    /**
     * Creates a roster without other hosts.
     *
     * @param selfProcessStart distinguishes this host's process from earlier processes on it
     */
    public HostRoster(HostId self, String selfProcessStart) {
        this.self = self;
        this.selfProcessStart = selfProcessStart;
        this.ring = WatchRing.around(self, List.of());
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
        knownHosts(nowNanos).forEach((id, entry) -> lapsedHosts.putIfAbsent(id, new LapsedHost(entry, nowNanos)));
        lapsedHosts.keySet().removeAll(others.keySet());
        others.forEach((id, entry) -> forgetEarlierProcess(entry));
        listedHosts = others;
        updateRing(nowNanos);
    }

    /** Returns the hosts that watch this one, which get its reports. */
    public List<Host> watchers(long nowNanos) {
        updateRing(nowNanos);
        Map<HostId, ListedHost> known = knownHosts(nowNanos);
        return ring.watchers().stream()
                .filter(known::containsKey)
                .map(id -> known.get(id).host())
                .toList();
    }

    /** Records a report from a host. */
    public void recordReport(HostId from, HostReport report, long nowNanos) {
        lastReports.put(from, new LastReport(report, nowNanos));
        notices.clear(from);
    }

    /** Records a message of any kind from a host: it is not silent. */
    public void recordMessage(HostId from) {
        notices.clear(from);
    }

    /**
     * Records that a watcher of a host does not hear it any more; returns whether the host counts as silent from now on. A
     * host that this one watches itself is judged by its own reports.
     */
    public boolean recordSilence(HostId watcher, HostId silent, long nowNanos) {
        return !silent.equals(self) && !ring.watched().contains(silent) && notices.add(watcher, silent, nowNanos);
    }

    /** Returns the watched hosts that are silent, if this host hears most of those that it watches. */
    public List<HostId> silentHosts(long nowNanos) {
        if (!isMajorityHeard(nowNanos)) {
            return List.of();
        }
        return ring.watched().stream()
                .filter(id -> isJudged(id) && !isFresh(id, nowNanos))
                .toList();
    }

    /** Records that a host reports to others from now on. */
    public void recordWatchEnd(HostId from) {
        lastReports.remove(from);
    }

    /** Records an answer from a host; it counts as a sign of life if the host has reported before. */
    public void recordAnswer(HostId from, long nowNanos) {
        lastReports.computeIfPresent(from, (host, last) -> new LastReport(last.report, nowNanos));
    }

    /** Returns the hosts that have become silent, each once until it is heard again. */
    public List<HostId> takeNewlySilent(long nowNanos) {
        List<HostId> silent = ring.watched().stream()
                .filter(host ->
                        lastReports.containsKey(host) && !lastReports.get(host).isFresh(nowNanos))
                .filter(reportedSilent::add)
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
     * Returns the other gateways that understand a set of messages and are neither silent nor stopping as far as this host knows;
     * a gateway that has just been listed counts before its first report.
     */
    public List<Host> gatewaysThatUnderstand(int messageSet, long nowNanos) {
        return knownHosts(nowNanos).values().stream()
                .filter(entry -> entry.host().role() == Role.GATEWAY && entry.messageSet() >= messageSet)
                .map(ListedHost::host)
                .filter(host -> !isKnownSilentOrLeaving(host.id(), nowNanos))
                .toList();
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

    /** Returns the other gateways that are not known to be silent or stopping, including those that were not heard yet. */
    public List<Host> gatewaysNotKnownLost(long nowNanos) {
        return gatewaysThatUnderstand(ListedHost.FIRST_MESSAGE_SET, nowNanos);
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
        lapsedHosts.forEach((id, lapsed) -> {
            Predicate<HostReport> sameProcessStaying =
                    report -> !report.leaving() && report.processStart().equals(lapsed.entry.processStart());
            boolean mayBeAlive = ring.watched().contains(id) || lapsed.isRecent(nowNanos);
            if (mayBeAlive && isHeard(id, sameProcessStaying, nowNanos)) {
                known.putIfAbsent(id, lapsed.entry);
            }
        });
        return known;
    }

    /**
     * Computes the ring anew if other hosts are on it. What a host has reported as long as this one watched it says nothing
     * once it reports to others, except that it is leaving.
     */
    private void updateRing(long nowNanos) {
        Set<HostId> members = currentRingMembers(nowNanos);
        if (!members.equals(ringMembers)) {
            ringMembers = members;
            ring = WatchRing.around(self, members);
        }
        lastReports
                .entrySet()
                .removeIf(entry -> !ring.watched().contains(entry.getKey())
                        && !entry.getValue().report.leaving());
    }

    /**
     * Returns the other hosts on the ring. Whether this host hears them does not matter: a host that it watches and does not
     * hear would leave the ring and count as one that others watch.
     */
    private Set<HostId> currentRingMembers(long nowNanos) {
        Set<HostId> members = new LinkedHashSet<>();
        listedHosts.forEach((id, entry) -> addIfGateway(members, entry));
        lapsedHosts.forEach((id, lapsed) -> {
            if (lapsed.isRecent(nowNanos) || isFresh(id, nowNanos)) {
                addIfGateway(members, lapsed.entry);
            }
        });
        members.removeIf(id -> notices.isSilent(id, nowNanos));
        return members;
    }

    private static void addIfGateway(Set<HostId> members, ListedHost entry) {
        if (entry.host().role() == Role.GATEWAY) {
            members.add(entry.host().id());
        }
    }

    private boolean isFresh(HostId id, long nowNanos) {
        LastReport last = lastReports.get(id);
        return last != null && last.isFresh(nowNanos);
    }

    /** A restarted host reports to its watchers only, so that the others have to forget here that it was leaving. */
    private void forgetEarlierProcess(ListedHost entry) {
        lastReports.computeIfPresent(entry.host().id(), (id, last) -> {
            boolean sameProcess = last.report.processStart().equals(entry.processStart());
            return last.report.leaving() && !sameProcess ? null : last;
        });
        ListedHost earlier = listedHosts.get(entry.host().id());
        if (earlier == null || !earlier.processStart().equals(entry.processStart())) {
            notices.clear(entry.host().id());
        }
    }

    /** Returns whether this host judges another by its own reports: it watches it, and the other has begun to report. */
    private boolean isJudged(HostId id) {
        return ring.watched().contains(id) && lastReports.containsKey(id);
    }

    private boolean isMajorityHeard(long nowNanos) {
        List<HostId> judged = ring.watched().stream()
                .filter(id -> listedHosts.containsKey(id) && isJudged(id))
                .toList();
        long heardCount = judged.stream().filter(id -> isFresh(id, nowNanos)).count();
        return (heardCount + 1) * 2 > judged.size() + 1;
    }

    private boolean isLongSilent(HostId id, long nowNanos) {
        if (!isJudged(id)) {
            return notices.isSilentFor(id, LOST_AFTER_NANOS - SILENT_AFTER_NANOS, nowNanos);
        }
        return nowNanos - lastReports.get(id).heardAtNanos >= LOST_AFTER_NANOS;
    }

    private boolean isKnownSilentOrLeaving(HostId id, long nowNanos) {
        LastReport last = lastReports.get(id);
        boolean leaving = last != null && last.report.leaving();
        boolean silent = isJudged(id) ? !last.isFresh(nowNanos) : notices.isSilent(id, nowNanos);
        return leaving || silent;
    }

    private boolean isHeard(HostId id, Predicate<HostReport> condition, long nowNanos) {
        LastReport last = lastReports.get(id);
        if (isJudged(id)) {
            return last.isFresh(nowNanos) && condition.test(last.report);
        }
        boolean presumedAlive = !ring.isComplete() && !notices.isSilent(id, nowNanos);
        return presumedAlive && (last == null || condition.test(last.report));
    }

    /** A host that has disappeared from the list, and when. */
    private record LapsedHost(ListedHost entry, long sinceNanos) {
        boolean isRecent(long nowNanos) {
            return nowNanos - sinceNanos < MAX_LAPSE_NANOS;
        }
    }

    /** The latest report of a host and when the host was last heard. */
    private record LastReport(HostReport report, long heardAtNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - heardAtNanos < SILENT_AFTER_NANOS;
        }
    }
}
