package org.gooseberryhill.decision.ownership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Assigns keys to hosts by rendezvous hashing (Thaler and Ravishankar, 1998), preferring hosts of a given zone.
 * Stateless and thread-safe.
 *
 * <p>Invariant: hosts with the same view compute the same owner, and the loss of a host moves only the keys that it
 * owned. Hosts with different views may compute two owners for a while, so exclusive work carries a fencing token from
 * the key-value store.
 */
public final class Ownership {
    private static final int MANTISSA_SHIFT = 11;
    private static final double MANTISSA_UNIT = 0x1.0p-53;

    private Ownership() {}

    /**
     * Returns the owner of a key: the highest ranked host of the zone that is not leaving; else that of any zone; else
     * the highest ranked host, even if it is leaving.
     */
    public static Optional<Host> owner(String key, Optional<AvailabilityZone> zone, Collection<Host> hosts) {
        List<Host> ranked = rank(key, hosts);
        return ranked.stream()
                .filter(host -> !host.leaving() && zone.map(host.zone()::equals).orElse(true))
                .findFirst()
                .or(() -> ranked.stream().filter(host -> !host.leaving()).findFirst())
                .or(() -> ranked.stream().findFirst());
    }

    /** Returns the steward of an endpoint, preferably one in the zone of the endpoint. */
    public static Optional<Host> ownerOfEndpoint(String endpoint, AvailabilityZone zone, Collection<Host> stewards) {
        return owner("endpoint/" + endpoint, Optional.of(zone), stewards);
    }

    /** Returns the steward that owns a job. */
    public static Optional<Host> ownerOfJob(JobKey job, Collection<Host> stewards) {
        return owner("job/" + job.path(), Optional.empty(), stewards);
    }

    /**
     * Returns the steward that assigns endpoints to the suspects of a service. A suspect is a request that was in
     * flight when an endpoint crashed; it runs at an endpoint without other suspects.
     */
    public static Optional<Host> ownerOfSuspects(String service, Collection<Host> stewards) {
        return owner("suspects/" + service, Optional.empty(), stewards);
    }

    /** Returns all hosts, those with the highest score for the key first. */
    public static List<Host> rank(String key, Collection<Host> hosts) {
        return hosts.stream()
                .map(host -> new Scored(host, score(key, host)))
                .sorted(Comparator.comparingLong(Scored::score).reversed().thenComparing(scored -> scored.host.id()))
                .map(Scored::host)
                .toList();
    }

    /**
     * Returns the hosts that are to hold copies of a key: one host per zone in rank order until the count is reached.
     * A second host of a zone is chosen only if there are fewer zones than copies.
     */
    public static List<Host> copyHolders(String key, int count, Collection<Host> hosts) {
        List<Host> ranked = rank(key, hosts);
        List<Host> chosen = new ArrayList<>();
        for (Host host : ranked) {
            boolean newZone = chosen.stream().noneMatch(other -> other.zone().equals(host.zone()));
            if (chosen.size() < count && newZone) {
                chosen.add(host);
            }
        }
        for (Host host : ranked) {
            if (chosen.size() < count && !chosen.contains(host)) {
                chosen.add(host);
            }
        }
        return chosen;
    }

    /** Returns a number between 0 and 1, both excluded, that is uniform over the keys and the hosts. */
    public static double uniform(String key, Host host) {
        return ((score(key, host) >>> MANTISSA_SHIFT) + 0.5) * MANTISSA_UNIT;
    }

    private static long score(String key, Host host) {
        return Hashing.komihash5_0().hashCharsToLong(host.id().value() + "\0" + key);
    }

    /** A host with its score for a key, which is computed once for all comparisons. */
    private record Scored(Host host, long score) {}
}
