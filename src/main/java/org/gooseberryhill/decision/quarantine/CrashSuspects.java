package org.gooseberryhill.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;

/**
 * Records the requests that were in flight when an endpoint crashed. Bounded in size. Not thread-safe.
 *
 * <p>Guards against a request that crashes each endpoint that runs it and that its caller resends through other hosts
 * until no endpoint is left. Every request in flight at a crash becomes a suspect. A suspect runs at an endpoint
 * without other suspects, so that a second crash identifies the cause; that request is then refused on all hosts until
 * its quarantine expires. A suspect that completes is cleared.
 */
public final class CrashSuspects {
    /** How a request must be treated. */
    public enum Verdict {
        /** No crash is on record at which the request was in flight. */
        CLEAR,
        /** The request was in flight at one crash and runs apart from other suspects. */
        SUSPECT,
        /** The request was in flight at two crashes and is refused. */
        QUARANTINED
    }

    private static final int CRASHES_BEFORE_QUARANTINE = 2;
    private static final long SAME_CRASH_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final long retentionNanos;
    private final int maxSuspects;
    private final Map<Fingerprint, CrashHistory> histories = new LinkedHashMap<>();

    /**
     * Creates an empty instance.
     *
     * @param retentionMillis how long a request is kept after its last crash, in milliseconds
     * @param maxSuspects the maximum number of requests kept; the one recorded first is evicted first
     */
    public CrashSuspects(long retentionMillis, int maxSuspects) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
        this.maxSuspects = maxSuspects;
    }

    /**
     * Records that an endpoint crashed with requests in flight.
     *
     * <p>Several hosts report the same crash, each with the requests that it had there. For each request, reports of
     * the same endpoint less than 2 s apart count as one crash.
     */
    public void recordCrash(String endpoint, Collection<Fingerprint> inFlight, long nowNanos) {
        removeExpired(nowNanos);
        for (Fingerprint fingerprint : inFlight) {
            CrashHistory history = histories.computeIfAbsent(fingerprint, key -> new CrashHistory());
            history.add(new Crash(endpoint, nowNanos));
        }
        while (histories.size() > maxSuspects) {
            histories.remove(histories.keySet().iterator().next());
        }
    }

    /** Clears a request that completed: it does not crash endpoints. */
    public void clear(Fingerprint fingerprint) {
        histories.remove(fingerprint);
    }

    /** Returns how a request must be treated now. */
    public Verdict verdict(Fingerprint fingerprint, long nowNanos) {
        CrashHistory history = histories.get(fingerprint);
        if (history == null || nowNanos - history.lastCrashNanos > retentionNanos) {
            return Verdict.CLEAR;
        }
        return history.crashes.size() >= CRASHES_BEFORE_QUARANTINE ? Verdict.QUARANTINED : Verdict.SUSPECT;
    }

    /** Returns the time until the record of a request expires, in milliseconds; 0 if there is none. */
    public long remainingMillis(Fingerprint fingerprint, long nowNanos) {
        CrashHistory history = histories.get(fingerprint);
        if (history == null) {
            return 0;
        }
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, retentionNanos - (nowNanos - history.lastCrashNanos)));
    }

    /** Returns the number of requests recorded, including expired ones that have not been removed yet. */
    public int size() {
        return histories.size();
    }

    private void removeExpired(long nowNanos) {
        histories.values().removeIf(history -> nowNanos - history.lastCrashNanos > retentionNanos);
    }

    /** The crashes at which one request was in flight. */
    private static final class CrashHistory {
        private final List<Crash> crashes = new ArrayList<>();
        private long lastCrashNanos;

        void add(Crash crash) {
            boolean alreadyRecorded = crashes.stream().anyMatch(crash::isSameAs);
            if (!alreadyRecorded && crashes.size() < CRASHES_BEFORE_QUARANTINE) {
                crashes.add(crash);
            }
            lastCrashNanos = crash.atNanos;
        }
    }

    /** A crash of an endpoint. */
    private record Crash(String endpoint, long atNanos) {
        boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint) && Math.abs(atNanos - other.atNanos) < SAME_CRASH_WINDOW_NANOS;
        }
    }
}
