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
 * <p>Neither source is sufficient. Keys expire during an outage of the store although their hosts are alive, and keys
 * outlive their hosts by up to a lease, or by the length of an outage. Invariants:
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
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(3500);

    /** Silence after which a host counts as lost: the length of a lease, by which five reports are missing. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private final HostId self;
    private final String selfStart;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private final Set<HostId> toldSilent = new HashSet<>();
    private final Map<HostId, ListedHost> lapsed = new HashMap<>();
    private Map<HostId, ListedHost> listed = Map.of();
    private List<Host> stores = List.of();

    /**
     * Creates a roster without other hosts.
     *
     * @param selfStart distinguishes this host's process from earlier processes on it
     */
    public HostRoster(HostId self, String selfStart) {
        this.self = self;
        this.selfStart = selfStart;
    }

    /** Replaces the list of live hosts with a new reading from the key-value store. */
    public void listed(Collection<ListedHost> live, long nowNanos) {
        Map<HostId, ListedHost> others = new LinkedHashMap<>();
        live.stream()
                .filter(entry -> entry.host().role() != Role.STORE)
                .filter(entry -> !entry.host().id().equals(self))
                .forEach(entry -> others.put(entry.host().id(), entry));
        stores = live.stream()
                .map(ListedHost::host)
                .filter(host -> host.role() == Role.STORE)
                .toList();
        lapsed.putAll(known(nowNanos));
        lapsed.keySet().removeAll(others.keySet());
        listed = others;
    }

    /** Records a report from a host. */
    public void heard(HostId from, HostSign sign, long nowNanos) {
        heard.put(from, new Heard(sign, nowNanos));
    }

    /** Records an answer from a host; it counts as a sign of life if the host has reported before. */
    public void answered(HostId from, long nowNanos) {
        heard.computeIfPresent(from, (host, last) -> new Heard(last.sign, nowNanos));
    }

    /** Returns the hosts that have become silent, each once until it is heard again. */
    public List<HostId> takeSilent(long nowNanos) {
        List<HostId> silent = heard.entrySet().stream()
                .filter(entry -> !entry.getValue().isFresh(nowNanos) && toldSilent.add(entry.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        toldSilent.removeIf(host -> isHeard(host, sign -> true, nowNanos));
        lapsed.keySet().removeAll(toldSilent);
        heard.keySet().removeIf(host -> toldSilent.contains(host) && !listed.containsKey(host));
        toldSilent.retainAll(heard.keySet());
        return silent;
    }

    /** Returns the process starts of all hosts that are alive now, this one included, by host id. */
    public Map<String, String> liveStarts(long nowNanos) {
        Map<String, String> starts = new HashMap<>();
        boolean mostAreHeard = areMostHeard(nowNanos);
        known(nowNanos).forEach((id, entry) -> {
            if (!(mostAreHeard && isLongSilent(id, nowNanos))) {
                starts.put(id.value(), entry.processStart());
            }
        });
        heard.forEach((id, last) -> {
            if (last.isFresh(nowNanos)) {
                starts.put(id.value(), last.sign.processStart());
            }
        });
        starts.put(self.value(), selfStart);
        return starts;
    }

    /** Returns the other gateways that are listed, or were listed and are still heard. */
    public List<Host> gateways(long nowNanos) {
        List<Host> gateways = new ArrayList<>();
        for (ListedHost entry : known(nowNanos).values()) {
            if (entry.host().role() == Role.GATEWAY) {
                gateways.add(entry.host());
            }
        }
        return gateways;
    }

    /** Returns the listed store hosts. */
    public List<Host> stores() {
        return stores;
    }

    /** Returns the other gateways that were heard recently and are not stopping. */
    public List<Host> staying(long nowNanos) {
        return heardGateways(sign -> !sign.leaving(), nowNanos);
    }

    /**
     * Returns the other gateways that may call the key-value store on behalf of this host: those that reach the store,
     * or all known gateways while none has been heard. The fallback serves a host that starts while it cannot reach the
     * store: it is on nobody's list yet and therefore receives no reports.
     */
    public List<Host> reachingStore(long nowNanos) {
        boolean noneIsHeard = heardGateways(sign -> true, nowNanos).isEmpty();
        return noneIsHeard ? gateways(nowNanos) : heardGateways(HostSign::storeReached, nowNanos);
    }

    /** Returns a host, other than a store host, that is listed, or was listed and is still heard. */
    public Optional<Host> find(HostId id, long nowNanos) {
        return Optional.ofNullable(known(nowNanos).get(id)).map(ListedHost::host);
    }

    private List<Host> heardGateways(Predicate<HostSign> condition, long nowNanos) {
        return gateways(nowNanos).stream()
                .filter(host -> isHeard(host.id(), condition, nowNanos))
                .toList();
    }

    /** Returns the listed hosts and those that have disappeared from the list but are still heard. */
    private Map<HostId, ListedHost> known(long nowNanos) {
        if (lapsed.isEmpty()) {
            return listed;
        }
        Map<HostId, ListedHost> known = new LinkedHashMap<>(listed);
        lapsed.forEach((id, entry) -> {
            Predicate<HostSign> samePresent =
                    sign -> !sign.leaving() && sign.processStart().equals(entry.processStart());
            if (isHeard(id, samePresent, nowNanos)) {
                known.putIfAbsent(id, entry);
            }
        });
        return known;
    }

    private boolean areMostHeard(long nowNanos) {
        long fresh = listed.keySet().stream()
                .filter(id -> isHeard(id, sign -> true, nowNanos))
                .count();
        int allHosts = listed.size() + 1;
        return (fresh + 1) * 2 > allHosts;
    }

    private boolean isLongSilent(HostId id, long nowNanos) {
        Heard last = heard.get(id);
        return last != null && nowNanos - last.atNanos >= LOST_NANOS;
    }

    private boolean isHeard(HostId id, Predicate<HostSign> condition, long nowNanos) {
        Heard last = heard.get(id);
        return last != null && last.isFresh(nowNanos) && condition.test(last.sign);
    }

    /** The latest report of a host and when the host was last heard. */
    private record Heard(HostSign sign, long atNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos < SILENT_NANOS;
        }
    }
}
