package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gooseberryhill.host.HostId;

/**
 * Tracks which other hosts admit requests, as one of them hears them. Not thread-safe.
 *
 * <p>Members are the hosts that heard each other when none was silent. A silent host may be cut off and admit requests: it stays
 * silent until it is heard again, its process has certainly ended, most hosts agree that it is registered no more, or it is
 * known to be alive and to admit none.
 *
 * <p>Invariants: of the sides of a cut, at most one has most of the members. The others stop before that one takes over what
 * was theirs. While hosts are silent, a host uses nothing if it is not a member or may be registered no more.
 */
final class Participants {
    /** Reports come ten times a second. */
    private static final long SILENT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Age of the latest report up to which what a host has told counts as complete. */
    private static final long COMPLETE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Silence after which hosts stop that hear less than half of the members. */
    private static final long STOPPED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Silence after which hosts that hear most of the members take over. */
    private static final long TAKEN_OVER_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** Time after which a process that has ended may run again, unheard. */
    private static final long ENDED_NANOS = TimeUnit.MILLISECONDS.toNanos(4000);

    /** Time in which a host that starts hears the others, if they are alive. */
    private static final long STARTING_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

    private final HostId self;
    private final Map<HostId, Long> heardNanos = new HashMap<>();
    private final Map<HostId, Long> endedNanos = new HashMap<>();
    private final Set<HostId> using = new HashSet<>();
    private Optional<FleetView> knownView = Optional.empty();
    private Set<HostId> members = Set.of();
    private boolean tookPlace;
    private long startNanos;

    /** Creates the participants of a host that admits requests from now on. */
    Participants(HostId self, long nowNanos) {
        this.self = self;
        this.startNanos = nowNanos;
    }

    /** Forgets whom this host has heard, since it takes another one's place only now, which may be cut off. */
    void restart(long nowNanos) {
        heardNanos.clear();
        endedNanos.clear();
        using.clear();
        knownView = Optional.empty();
        members = Set.of();
        startNanos = nowNanos;
        tookPlace = true;
    }

    /** Replaces what is known of the other hosts. */
    void update(FleetView view, long nowNanos) {
        knownView = Optional.of(view);
        endedNanos.values().removeIf(atNanos -> nowNanos - atNanos >= ENDED_NANOS);
        heardNanos.keySet().removeIf(host -> isSilent(host, nowNanos) && hasStopped(host, view));
    }

    /**
     * Records a report of a host.
     *
     * @param usesQuotas whether the host knows what ran before, and may use its part of the quotas
     */
    void heard(HostId host, boolean usesQuotas, long nowNanos) {
        heardNanos.put(host, nowNanos);
        endedNanos.remove(host);
        if (usesQuotas) {
            using.add(host);
        } else {
            using.remove(host);
        }
    }

    /** Records that the process of a host has ended. */
    void ended(HostId host, long nowNanos) {
        heardNanos.remove(host);
        endedNanos.put(host, nowNanos);
    }

    /** Takes the hosts that are heard for members if all have reported just now; returns whether that is so. */
    boolean agree(long nowNanos) {
        boolean complete = silent(nowNanos).isEmpty()
                && !isStarting(nowNanos)
                && heardNanos.keySet().stream().allMatch(host -> silentNanos(host, nowNanos) < COMPLETE_NANOS);
        if (complete) {
            members = reached(nowNanos);
        }
        return complete;
    }

    /** Returns whether no other host admits requests, or may do so. */
    boolean isAlone(long nowNanos) {
        return admitting().isEmpty() && heardNanos.isEmpty() && silent(nowNanos).isEmpty();
    }

    /**
     * Returns whether others may use what was this host's: it does not know the others, or may be registered no more and does not
     * hear most hosts.
     */
    boolean isReplaceable() {
        return knownView.map(view -> !view.selfRegistered() && !view.majority()).orElse(true);
    }

    /**
     * Returns whether this host, which has just started, hears most hosts and one that uses quotas, or most of those that start
     * with it.
     */
    boolean mayStart(long nowNanos) {
        boolean hearsUsing = using.stream().anyMatch(host -> isFresh(host, nowNanos));
        long heard = heardNanos.keySet().stream()
                .filter(host -> isFresh(host, nowNanos))
                .count();
        boolean hearsEnough = hearsUsing || 2 * (heard + 1) > reached(nowNanos).size();
        return hearsEnough && knownView.map(FleetView::majority).orElse(false);
    }

    /** Returns whether this host has just started and has not heard all others yet. */
    boolean isStarting(long nowNanos) {
        if (nowNanos - startNanos >= STARTING_NANOS) {
            return false;
        }
        Stream<HostId> expected =
                tookPlace ? admitting().stream() : Stream.concat(admitting().stream(), lost().stream());
        return expected.anyMatch(host -> !heardNanos.containsKey(host) && !endedNanos.containsKey(host));
    }

    /** Returns the hosts that this one hears, itself included, and while it starts those that it may hear soon. */
    Set<HostId> reached(long nowNanos) {
        Set<HostId> reached = new HashSet<>();
        if (isStarting(nowNanos)) {
            reached.addAll(admitting());
            reached.addAll(lost());
        }
        heardNanos.keySet().forEach(host -> {
            if (isSilent(host, nowNanos)) {
                reached.remove(host);
            } else {
                reached.add(host);
            }
        });
        reached.add(self);
        return reached;
    }

    /** Returns the members, which had agreed parts of the quotas. */
    Set<HostId> members() {
        return members;
    }

    /** Returns the hosts that may admit requests although this one does not hear them. */
    Set<HostId> silent(long nowNanos) {
        Set<HostId> silent = new HashSet<>();
        boolean starting = isStarting(nowNanos);
        if (!starting) {
            silent.addAll(admitting());
        }
        if (!starting || tookPlace) {
            silent.addAll(lost());
        }
        silent.removeAll(endedNanos.keySet());
        silent.removeAll(heardNanos.keySet());
        heardNanos.keySet().stream().filter(host -> isSilent(host, nowNanos)).forEach(silent::add);
        return silent;
    }

    /** Returns whether this host must not use any quota because of the hosts that are silent. */
    boolean mustStop(long nowNanos) {
        if (!members.contains(self) || !knownView.map(FleetView::selfRegistered).orElse(false)) {
            return true;
        }
        return 2 * heardMembers(nowNanos) < livingMembers()
                && silent(nowNanos).stream().anyMatch(host -> silentNanos(host, nowNanos) >= STOPPED_AFTER_NANOS);
    }

    /** Returns the silent hosts whose parts of the quotas this host must leave to them. */
    Set<HostId> withholding(long nowNanos) {
        Set<HostId> withholding = silent(nowNanos);
        if (2 * heardMembers(nowNanos) > livingMembers()) {
            withholding.removeIf(host -> silentNanos(host, nowNanos) >= TAKEN_OVER_AFTER_NANOS);
        }
        return withholding;
    }

    private int heardMembers(long nowNanos) {
        Set<HostId> heard = reached(nowNanos);
        heard.retainAll(members);
        return heard.size();
    }

    /** Returns the number of members, but for those that have ended or admit nothing any more. */
    private int livingMembers() {
        return (int) members.stream()
                .filter(host -> host.equals(self) || heardNanos.containsKey(host))
                .count();
    }

    private long silentNanos(HostId host, long nowNanos) {
        return nowNanos - heardNanos.getOrDefault(host, startNanos);
    }

    private boolean hasStopped(HostId host, FleetView view) {
        boolean expected = view.admitting().contains(host) || view.lost().contains(host);
        boolean removed = view.majority() && !view.registered().contains(host);
        return removed || view.active().contains(host) && !expected;
    }

    private boolean isSilent(HostId host, long nowNanos) {
        return nowNanos - heardNanos.get(host) >= SILENT_AFTER_NANOS;
    }

    private boolean isFresh(HostId host, long nowNanos) {
        return heardNanos.containsKey(host) && !isSilent(host, nowNanos);
    }

    private Set<HostId> admitting() {
        return knownView.map(FleetView::admitting).orElse(Set.of());
    }

    private Set<HostId> lost() {
        return knownView.map(FleetView::lost).orElse(Set.of());
    }
}
