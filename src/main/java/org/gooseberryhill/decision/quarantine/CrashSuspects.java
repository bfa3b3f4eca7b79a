package org.gooseberryhill.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;

/**
 * The requests that were in flight when an endpoint crashed. Not thread-safe; bounded.
 *
 * <p>Failure: one request crashes each endpoint that runs it, and its caller sends it again through other hosts until
 * none is left. Everything in flight at a crash is suspect; a suspect runs apart from other suspects, so the second
 * crash tells which one it was; that one is refused at once everywhere until its time is over. A suspect that
 * completes is cleared.
 */
public final class CrashSuspects {
    /** What may be done with a request. */
    public enum Verdict {
        /** Nothing is known against it. */
        CLEAR,
        /** It was in flight at one crash: it runs apart. */
        SUSPECT,
        /** It was in flight at two: it is refused. */
        QUARANTINED
    }

    private static final int CRASHES_BEFORE_QUARANTINE = 2;
    private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final long memoryNanos;
    private final int maxSuspects;
    private final Map<Fingerprint, Record> records = new LinkedHashMap<>();

    /**
     * An empty memory.
     *
     * @param memoryMillis how long a suspect or a quarantined request is remembered
     * @param maxSuspects how many are remembered; the oldest goes first
     */
    public CrashSuspects(long memoryMillis, int maxSuspects) {
        this.memoryNanos = TimeUnit.MILLISECONDS.toNanos(memoryMillis);
        this.maxSuspects = maxSuspects;
    }

    /**
     * An endpoint crashed with these requests in flight. Several hosts tell of the same crash, each of the requests it
     * had there: reports of one endpoint within a short time are the same crash and count once for a request.
     */
    public void crashed(String endpoint, Collection<Fingerprint> inFlight, long nowNanos) {
        forgetOld(nowNanos);
        for (Fingerprint fingerprint : inFlight) {
            Record record = records.computeIfAbsent(fingerprint, key -> new Record());
            record.add(new Crash(endpoint, nowNanos));
        }
        while (records.size() > maxSuspects) {
            records.remove(records.keySet().iterator().next());
        }
    }

    /** The request got its whole answer: it crashes nothing. */
    public void completed(Fingerprint fingerprint) {
        records.remove(fingerprint);
    }

    /** What may be done with a request now. */
    public Verdict verdict(Fingerprint fingerprint, long nowNanos) {
        Record record = records.get(fingerprint);
        if (record == null || nowNanos - record.sinceNanos > memoryNanos) {
            return Verdict.CLEAR;
        }
        return record.crashes.size() >= CRASHES_BEFORE_QUARANTINE ? Verdict.QUARANTINED : Verdict.SUSPECT;
    }

    /** How long the request stays refused, in milliseconds. */
    public long remainingMillis(Fingerprint fingerprint, long nowNanos) {
        Record record = records.get(fingerprint);
        if (record == null) {
            return 0;
        }
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, memoryNanos - (nowNanos - record.sinceNanos)));
    }

    /** How many are remembered. */
    public int size() {
        return records.size();
    }

    private void forgetOld(long nowNanos) {
        records.values().removeIf(record -> nowNanos - record.sinceNanos > memoryNanos);
    }

    /** The crashes of one fingerprint. */
    private static final class Record {
        private final List<Crash> crashes = new ArrayList<>();
        private long sinceNanos;

        void add(Crash crash) {
            boolean known = crashes.stream().anyMatch(crash::isSameAs);
            if (!known && crashes.size() < CRASHES_BEFORE_QUARANTINE) {
                crashes.add(crash);
            }
            sinceNanos = crash.atNanos;
        }
    }

    /** A crash of an endpoint. */
    private record Crash(String endpoint, long atNanos) {
        boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint) && Math.abs(atNanos - other.atNanos) < SAME_CRASH_NANOS;
        }
    }
}
