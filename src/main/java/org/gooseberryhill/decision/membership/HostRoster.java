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
 * Which other hosts live, by the list that the key-value store keeps under their leases and by what they report. Not
 * thread-safe.
 *
 * <p>Neither source is enough: keys lapse while the store is away and their hosts live on, and keys outlive their hosts by
 * a lease, or by an outage. Invariants: a host that is heard lives, whatever the list says; one that lapsed from the list
 * counts only as long as it is heard; one that is listed and silent for long counts as lost only while most others are
 * heard, since a host that hears few of them is cut off itself, or has just woken. Hosts with a disk report nothing:
 * for them the list holds.
 */
public final class HostRoster {
    /** A host that was not heard for this long is not asked for help: hosts report each second, and three are missing. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(3500);

    /** A host that was not heard for this long does not live: as long as a lease, and five reports are missing. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private final HostId self;
    private final String selfStart;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private final Set<HostId> toldSilent = new HashSet<>();
    private final Map<HostId, ListedHost> lapsed = new HashMap<>();
    private Map<HostId, ListedHost> listed = Map.of();
    private List<Host> stores = List.of();

    /**
     * A roster that knows nobody yet.
     *
     * @param selfStart tells this host's process from an earlier one
     */
    public HostRoster(HostId self, String selfStart) {
        this.self = self;
        this.selfStart = selfStart;
    }

    /** Takes in the list of live hosts. */
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

    /** A host's report came. */
    public void heard(HostId from, HostSign sign, long nowNanos) {
        heard.put(from, new Heard(sign, nowNanos));
    }

    /** A host answered. */
    public void answered(HostId from, long nowNanos) {
        heard.computeIfPresent(from, (host, last) -> new Heard(last.sign, nowNanos));
    }

    /** The hosts that have been silent for too long, each named once. */
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

    /** The process of each host, this one too, that is known to live now, by host. */
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

    /** The other hosts that serve callers. */
    public List<Host> gateways(long nowNanos) {
        List<Host> gateways = new ArrayList<>();
        for (ListedHost entry : known(nowNanos).values()) {
            if (entry.host().role() == Role.GATEWAY) {
                gateways.add(entry.host());
            }
        }
        return gateways;
    }

    /** The hosts with a disk. */
    public List<Host> stores() {
        return stores;
    }

    /** The other gateways that were heard lately and are not stopping. */
    public List<Host> staying(long nowNanos) {
        return heardGateways(sign -> !sign.leaving(), nowNanos);
    }

    /**
     * The other gateways that may call the key-value store for this host: those that reach it, or all that are listed while
     * none was heard. A host that starts while the store turns it away is known to nobody and hears nothing.
     */
    public List<Host> reachingStore(long nowNanos) {
        boolean noneIsHeard = heardGateways(sign -> true, nowNanos).isEmpty();
        return noneIsHeard ? gateways(nowNanos) : heardGateways(HostSign::storeReached, nowNanos);
    }

    /** A host that is listed, or lapsed and heard. */
    public Optional<Host> find(HostId id, long nowNanos) {
        return Optional.ofNullable(known(nowNanos).get(id)).map(ListedHost::host);
    }

    private List<Host> heardGateways(Predicate<HostSign> condition, long nowNanos) {
        return gateways(nowNanos).stream()
                .filter(host -> isHeard(host.id(), condition, nowNanos))
                .toList();
    }

    /** The hosts on the list, and those that lapsed from it and are heard. */
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

    /** What was last heard of a host. */
    private record Heard(HostSign sign, long atNanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - atNanos < SILENT_NANOS;
        }
    }
}
