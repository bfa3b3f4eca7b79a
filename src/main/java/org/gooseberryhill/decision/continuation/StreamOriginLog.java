package org.gooseberryhill.decision.continuation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Remembers at which version streams began, by the id of the client attempt that brought the first event. Not thread-safe.
 *
 * <p>Invariants: an origin is kept for {@link #RETENTION_NANOS} after it was last recorded, unless more than {@link
 * #MAX_STREAMS} are newer; an id that was recorded with two versions keeps both, since it tells nothing.
 */
public final class StreamOriginLog {
    /** No caller takes a stream up again after this time. */
    static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    static final int MAX_STREAMS = 20_000;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Deque<Recording> recordings = new ArrayDeque<>();

    /** Records that a stream began at a version, or goes on there. */
    public void record(StreamOrigin origin, long nowNanos) {
        removeOld(nowNanos);
        Entry entry = entries.computeIfAbsent(origin.firstRequestId(), id -> new Entry());
        entry.versions.add(origin.beganAt());
        entry.recordedNanos = nowNanos;
        recordings.add(new Recording(origin, nowNanos));
    }

    /** Returns the versions that were recorded for a stream: one, or several if they contradict each other. */
    public Set<ServiceVersion> find(String firstRequestId, long nowNanos) {
        removeOld(nowNanos);
        Entry entry = entries.get(firstRequestId);
        return entry == null ? Set.of() : Set.copyOf(entry.versions);
    }

    /** Returns the origins at a service that were recorded at most the given time ago. */
    public Set<StreamOrigin> recent(String service, long maxAgeNanos, long nowNanos) {
        Set<StreamOrigin> recent = recent(maxAgeNanos, nowNanos);
        recent.removeIf(origin -> !origin.beganAt().service().equals(service));
        return recent;
    }

    /** Returns the origins that were recorded at most the given time ago. */
    public Set<StreamOrigin> recent(long maxAgeNanos, long nowNanos) {
        Set<StreamOrigin> recent = new HashSet<>();
        recordings.stream()
                .filter(recording -> nowNanos - recording.nanos <= maxAgeNanos)
                .forEach(recording -> recent.add(recording.origin));
        return recent;
    }

    private void removeOld(long nowNanos) {
        Recording oldest = recordings.peek();
        while (oldest != null && (nowNanos - oldest.nanos > RETENTION_NANOS || recordings.size() >= MAX_STREAMS)) {
            recordings.poll();
            removeUnlessRenewed(oldest);
            oldest = recordings.peek();
        }
    }

    private void removeUnlessRenewed(Recording oldest) {
        String id = oldest.origin.firstRequestId();
        Entry entry = entries.get(id);
        if (entry != null && entry.recordedNanos == oldest.nanos) {
            entries.remove(id);
        }
    }

    /** The versions of a stream and when they were last recorded. */
    private static final class Entry {
        private final Set<ServiceVersion> versions = new HashSet<>();
        private long recordedNanos;
    }

    /** One recording, in the order of which entries are removed. */
    private record Recording(StreamOrigin origin, long nanos) {}
}
