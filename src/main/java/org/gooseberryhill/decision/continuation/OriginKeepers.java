package org.gooseberryhill.decision.continuation;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;

/**
 * Chooses the other hosts that remember at which version a stream began. Not thread-safe.
 *
 * <p>Invariants: hosts with the same view choose the same hosts, in several availability zones where there are several; the loss of
 * a host moves only what it kept. The streams are divided into few parts, so that a host connects to few others in a large fleet.
 */
public final class OriginKeepers {
    /** Number of other hosts that remember a stream, besides the host that began it. */
    static final int COPIES = 3;

    private static final int PARTS = 16;

    private final Map<Integer, List<Host>> rankedByPart = new HashMap<>();
    private List<Host> hosts = List.of();

    /** Replaces the other hosts that may be chosen. */
    public void updateHosts(Collection<Host> others) {
        List<Host> updated = List.copyOf(others);
        if (!updated.equals(hosts)) {
            hosts = updated;
            rankedByPart.clear();
        }
    }

    /** Returns the hosts that are told of a stream. */
    public List<Host> keepersOf(String firstRequestId) {
        List<Host> ranked = candidates(firstRequestId);
        return ranked.subList(0, Math.min(COPIES, ranked.size()));
    }

    /** Returns the other hosts in the order in which they are asked: those that are told of the stream first. */
    public List<Host> candidates(String firstRequestId) {
        int part = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(firstRequestId), PARTS);
        return rankedByPart.computeIfAbsent(part, this::rank);
    }

    private List<Host> rank(int part) {
        String key = "streams/" + part;
        List<Host> ranked = new ArrayList<>(Ownership.copyHolders(key, COPIES, hosts));
        Ownership.rank(key, hosts).stream()
                .filter(host -> !ranked.contains(host))
                .forEach(ranked::add);
        return List.copyOf(ranked);
    }
}
