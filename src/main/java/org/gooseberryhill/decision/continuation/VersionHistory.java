package org.gooseberryhill.decision.continuation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;

/**
 * Tracks which software versions of each service were registered in the time in which a stream may be taken up again. Not
 * thread-safe.
 *
 * <p>Invariant: a version that was registered at any moment of that time is known, from the first directory of this host on, or from
 * the time on that the record of the hosts before it covers; after changes that this host has missed, from then on.
 */
public final class VersionHistory {
    /**
     * Age of the directory up to which it counts as current: longer than between two readings of the registrations by any of the
     * hosts whose turn it may be.
     */
    public static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time between the first event of a stream and its last resumption at most, while no route sets a timeout. */
    static final long DEFAULT_STREAM_AGE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The caller's own time and the time of the attempt that it still makes at its end. */
    private static final int ROUTE_TIMEOUTS = 2;

    private static final long CLOCK_TOLERANCE_MILLIS = 3000;

    private final Map<ServiceVersion, Long> lastSeenNanos = new HashMap<>();
    private Set<ServiceVersion> registered = Set.of();
    private Optional<Long> knownSinceNanos = Optional.empty();
    private long maxStreamAgeNanos = DEFAULT_STREAM_AGE_NANOS;

    /** Derives from the timeouts of the routes for how long a stream may be taken up again. */
    public void configure(Collection<Route> routes) {
        List<Route> streams = routes.stream()
                .filter(route -> route.kind() == RouteKind.STREAM)
                .toList();
        boolean allHaveTimeouts = streams.stream().allMatch(route -> route.timeoutMillis() > 0);
        long longestMillis =
                streams.stream().mapToLong(Route::timeoutMillis).max().orElse(0);
        maxStreamAgeNanos = allHaveTimeouts && longestMillis > 0
                ? ROUTE_TIMEOUTS * TimeUnit.MILLISECONDS.toNanos(longestMillis)
                : DEFAULT_STREAM_AGE_NANOS;
    }

    /** Returns the time after its first event in which a stream may be taken up again, in nanoseconds. */
    public long maxStreamAgeNanos() {
        return maxStreamAgeNanos;
    }

    /** Replaces the directory; returns the services that have more than one version from now on. */
    public Set<String> update(Collection<EndpointEntry> entries, long nowNanos) {
        return update(entries, Set.of(), nowNanos);
    }

    /**
     * Replaces the directory; returns the services that have more than one version from now on.
     *
     * @param passed endpoints that were registered since the directory before and no longer are
     */
    public Set<String> update(Collection<EndpointEntry> entries, Collection<EndpointEntry> passed, long nowNanos) {
        Set<String> mixedBefore = mixedServices(nowNanos);
        if (knownSinceNanos.isEmpty() && !entries.isEmpty()) {
            knownSinceNanos = Optional.of(nowNanos);
        }
        registered.forEach(version -> lastSeenNanos.put(version, nowNanos));
        passed.forEach(entry -> lastSeenNanos.put(entry.serviceVersion(), nowNanos));
        registered = entries.stream().map(EndpointEntry::serviceVersion).collect(Collectors.toSet());
        registered.forEach(version -> lastSeenNanos.put(version, nowNanos));
        long keptNanos = Math.max(DEFAULT_STREAM_AGE_NANOS, maxStreamAgeNanos);
        lastSeenNanos.values().removeIf(seenNanos -> nowNanos - seenNanos > keptNanos);
        Set<String> mixed = mixedServices(nowNanos);
        mixed.removeAll(mixedBefore);
        return mixed;
    }

    /** Returns whether more than one version of a service was registered lately. */
    public boolean isMixed(String service, long nowNanos) {
        return versionsOf(service, nowNanos).size() > 1;
    }

    /** Records that versions may have come and gone that this host has not seen: it knows all from now on only. */
    public void changesMissed(long nowNanos) {
        knownSinceNanos = knownSinceNanos.map(sinceNanos -> nowNanos);
    }

    /**
     * Returns the versions of a service that were registered lately.
     *
     * @param ageNanos time since the directory was certainly current
     */
    public RegisteredVersions registeredOf(String service, long ageNanos, long nowNanos) {
        return new RegisteredVersions(versionsOf(service, nowNanos), isComplete(ageNanos, nowNanos));
    }

    /** Returns whether all versions are known that were registered lately, with a directory of the given age. */
    public boolean isComplete(long ageNanos, long nowNanos) {
        return ageNanos <= MAX_AGE_NANOS && isKnownFor(maxStreamAgeNanos, nowNanos);
    }

    /** Returns whether this host has followed the registrations for so long that complete reports of others reach to there. */
    public boolean joinsOtherReports(long nowNanos) {
        return isKnownFor(MAX_AGE_NANOS, nowNanos);
    }

    /** Returns the record to write for hosts that start; empty before the first directory. */
    public Optional<VersionRecord> toRecord(long nowMillis, long nowNanos) {
        Map<ServiceVersion, Long> gone = new HashMap<>();
        lastSeenNanos.forEach((version, seenNanos) -> {
            if (!registered.contains(version) && nowNanos - seenNanos <= maxStreamAgeNanos) {
                gone.put(version, nowMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - seenNanos));
            }
        });
        return knownSinceNanos.map(sinceNanos ->
                new VersionRecord(nowMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos), registered, gone));
    }

    /** Returns whether a record names other versions as registered than the directory has. */
    public boolean differsFrom(VersionRecord record) {
        return !record.registered().equals(registered);
    }

    /** Adds what the hosts have seen before this one started; the clocks of two hosts may differ by some seconds. */
    public void restore(VersionRecord record, long nowMillis, long nowNanos) {
        long knownMillis = nowMillis - record.sinceMillis() - CLOCK_TOLERANCE_MILLIS;
        if (knownMillis > 0) {
            long sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(knownMillis);
            knownSinceNanos = Optional.of(Math.min(knownSinceNanos.orElse(sinceNanos), sinceNanos));
        }
        record.registered().forEach(version -> lastSeenNanos.put(version, nowNanos));
        record.goneAtMillis().forEach((version, goneMillis) -> {
            long ageMillis = Math.max(0, nowMillis - goneMillis - CLOCK_TOLERANCE_MILLIS);
            lastSeenNanos.merge(version, nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis), Math::max);
        });
    }

    private boolean isKnownFor(long durationNanos, long nowNanos) {
        return knownSinceNanos
                .map(sinceNanos -> nowNanos - sinceNanos >= durationNanos)
                .orElse(false);
    }

    private Set<String> mixedServices(long nowNanos) {
        return lastSeenNanos.keySet().stream()
                .map(ServiceVersion::service)
                .filter(service -> isMixed(service, nowNanos))
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Set<String> versionsOf(String service, long nowNanos) {
        return lastSeenNanos.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service))
                .filter(entry ->
                        registered.contains(entry.getKey()) || nowNanos - entry.getValue() <= maxStreamAgeNanos)
                .map(entry -> entry.getKey().softwareVersion())
                .collect(Collectors.toSet());
    }
}
