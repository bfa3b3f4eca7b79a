package org.gooseberryhill.decision.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.host.HostId;

/**
 * Decides which hosts watch which others: on a ring by the hash of their ids, each host is watched by those that follow it.
 * Immutable.
 *
 * <p>Load pattern: a sign of life of each host to all others costs each host a share of its processor that grows with the
 * fleet. With a fixed number of watchers it stays the same, and a fleet of few hosts still watches each other completely.
 *
 * <p>Invariant: hosts with the same members compute the same ring.
 */
final class WatchRing {
    /**
     * Number of hosts that watch a host. Of the hosts that are lost together, half of all say, one in 256 loses all its
     * watchers with it and is found by those that take their place.
     */
    static final int WATCHERS = 8;

    private final Set<HostId> watchers;
    private final Set<HostId> watched;
    private final boolean complete;

    private WatchRing(Set<HostId> watchers, Set<HostId> watched, boolean complete) {
        this.watchers = watchers;
        this.watched = watched;
        this.complete = complete;
    }

    /** Computes the part of the ring around a host. */
    static WatchRing around(HostId self, Collection<HostId> others) {
        List<HostId> ring = new ArrayList<>(others);
        ring.add(self);
        ring.sort(Comparator.comparingLong(WatchRing::position).thenComparing(Comparator.naturalOrder()));
        int own = ring.indexOf(self);
        int count = Math.min(WATCHERS, ring.size() - 1);
        Set<HostId> watchers = new LinkedHashSet<>();
        Set<HostId> watched = new LinkedHashSet<>();
        for (int step = 1; step <= count; step++) {
            watchers.add(ring.get((own + step) % ring.size()));
            watched.add(ring.get((own - step + ring.size()) % ring.size()));
        }
        return new WatchRing(watchers, watched, count == ring.size() - 1);
    }

    /** Returns the hosts that watch this one, nearest first. */
    Set<HostId> watchers() {
        return watchers;
    }

    /** Returns the hosts that this one watches, nearest first. */
    Set<HostId> watched() {
        return watched;
    }

    /** Returns whether each host watches all others. */
    boolean isComplete() {
        return complete;
    }

    private static long position(HostId host) {
        return Hashing.komihash5_0().hashCharsToLong(host.value());
    }
}
