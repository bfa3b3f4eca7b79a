package org.gooseberryhill.decision.continuation;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Tracks which software versions of each service were registered in the time in which a stream may be taken up again. Not
 * thread-safe.
 *
 * <p>Invariant: a version that was registered at any moment of that time is known, from the first directory of this host on.
 */
public final class VersionHistory {
    /** Longest time between the first event of a stream and the moment at which its caller takes it up again. */
    static final long MAX_STREAM_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<ServiceVersion, Long> lastSeenNanos = new HashMap<>();
    private Set<ServiceVersion> registered = Set.of();
    private long firstDirectoryNanos = Long.MIN_VALUE;

    /** Replaces the directory; returns the services that have more than one version from now on. */
    public Set<String> update(Collection<EndpointEntry> entries, long nowNanos) {
        Set<String> mixedBefore = mixedServices(nowNanos);
        if (firstDirectoryNanos == Long.MIN_VALUE && !entries.isEmpty()) {
            firstDirectoryNanos = nowNanos;
        }
        registered.forEach(version -> lastSeenNanos.put(version, nowNanos));
        registered = entries.stream().map(EndpointEntry::serviceVersion).collect(Collectors.toSet());
        registered.forEach(version -> lastSeenNanos.put(version, nowNanos));
        lastSeenNanos.values().removeIf(seenNanos -> nowNanos - seenNanos > MAX_STREAM_AGE_NANOS);
        Set<String> mixed = mixedServices(nowNanos);
        mixed.removeAll(mixedBefore);
        return mixed;
    }

    /** Returns whether more than one version of a service was registered lately. */
    public boolean isMixed(String service, long nowNanos) {
        return versionsOf(service, nowNanos).size() > 1;
    }

    /** Returns the versions of a service that were registered lately. */
    public RegisteredVersions registeredOf(String service, long nowNanos) {
        boolean complete =
                firstDirectoryNanos != Long.MIN_VALUE && nowNanos - firstDirectoryNanos >= MAX_STREAM_AGE_NANOS;
        return new RegisteredVersions(versionsOf(service, nowNanos), complete);
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
                        registered.contains(entry.getKey()) || nowNanos - entry.getValue() <= MAX_STREAM_AGE_NANOS)
                .map(entry -> entry.getKey().softwareVersion())
                .collect(Collectors.toSet());
    }
}
