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
 * Rendezvous hashing (Thaler and Ravishankar, 1998) over hosts, own zone first. Stateless and thread-safe.
 *
 * <p>Invariant: hosts with the same view name the same owner, and a lost host moves only what it owned. Hosts with
 * different views may name two owners for a while: what must be exclusive carries a fence from the key-value service.
 */
public final class Ownership {
    private Ownership() {}

    /** The owner of a key: the highest ranked host of the zone that is not leaving, else of any zone. */
    public static Optional<Host> owner(String key, Optional<AvailabilityZone> zone, Collection<Host> hosts) {
        List<Host> ranked = rank(key, hosts);
        return ranked.stream()
                .filter(host -> !host.leaving() && zone.map(host.zone()::equals).orElse(true))
                .findFirst()
                .or(() -> ranked.stream().filter(host -> !host.leaving()).findFirst())
                .or(() -> ranked.stream().findFirst());
    }

    /** The steward of an endpoint: one of its own zone if there is one. */
    public static Optional<Host> ownerOfEndpoint(String endpoint, AvailabilityZone zone, Collection<Host> stewards) {
        return owner("endpoint/" + endpoint, Optional.of(zone), stewards);
    }

    /** The steward that owns a job. */
    public static Optional<Host> ownerOfJob(JobKey job, Collection<Host> stewards) {
        return owner("job/" + job.path(), Optional.empty(), stewards);
    }

    /** The steward that arbitrates the suspects of a service. */
    public static Optional<Host> ownerOfSuspects(String service, Collection<Host> stewards) {
        return owner("suspects/" + service, Optional.empty(), stewards);
    }

    /** All hosts, highest score for the key first. */
    public static List<Host> rank(String key, Collection<Host> hosts) {
        return hosts.stream()
                .sorted(Comparator.comparingLong((Host host) -> score(key, host))
                        .reversed()
                        .thenComparing(Host::id))
                .toList();
    }

    /**
     * The hosts that shall hold copies of a key: one a zone in the order of rank, until the number is reached; hosts
     * of used zones only if there are too few zones.
     */
    public static List<Host> copies(String key, int number, Collection<Host> hosts) {
        List<Host> ranked = rank(key, hosts);
        List<Host> chosen = new ArrayList<>();
        for (Host host : ranked) {
            boolean newZone = chosen.stream().noneMatch(other -> other.zone().equals(host.zone()));
            if (chosen.size() < number && newZone) {
                chosen.add(host);
            }
        }
        for (Host host : ranked) {
            if (chosen.size() < number && !chosen.contains(host)) {
                chosen.add(host);
            }
        }
        return chosen;
    }

    private static long score(String key, Host host) {
        return Hashing.komihash5_0().hashCharsToLong(host.id().value() + "\0" + key);
    }
}
