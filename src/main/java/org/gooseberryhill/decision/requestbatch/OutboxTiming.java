package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Determines when a host that holds a copy of a submission creates the batch record itself. Not thread-safe.
 *
 * <p>Normally the gateway that received the submission creates the record as soon as the key-value store answers, and
 * then has the copies deleted. If a copy is still there after a while, the gateway was lost or could not reach this
 * host. Creating records too late is a failure as well: a host that was down for hours comes back with a copy of a
 * batch that has long been finished and deleted, and that must not run again.
 */
public final class OutboxTiming {
    /**
     * The time that the gateway gets to create the record: longer than it takes to do so after an outage and to have
     * the copies deleted.
     */
    private static final long GATEWAY_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** The interval between attempts. Outages are either longer than this or much shorter, and each call has a cost. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The interval after the key-value store refused a submission as invalid, which it will probably do again. */
    private static final long REJECTED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final long retentionMillis;
    private final Map<String, Long> nextAttemptNanos = new HashMap<>();

    /**
     * Creates an instance that tracks no copies.
     *
     * @param retentionMillis how long a finished batch is kept; an older copy may belong to a batch that was deleted
     */
    public OutboxTiming(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Adds a copy that was stored, or found on disk at startup. */
    public void copyAdded(String name, long nowNanos) {
        nextAttemptNanos.put(name, nowNanos + GATEWAY_GRACE_NANOS);
    }

    /** Makes the record of a copy due at once, since this host is being evacuated. */
    public void makeDueNow(String name, long nowNanos) {
        nextAttemptNanos.computeIfPresent(name, (key, dueNanos) -> dueNanos - nowNanos > 0 ? nowNanos : dueNanos);
    }

    /** Records that the key-value store refused the record of a copy as invalid. */
    public void attemptRejected(String name, long nowNanos) {
        nextAttemptNanos.computeIfPresent(name, (key, dueNanos) -> nowNanos + REJECTED_INTERVAL_NANOS);
    }

    /** Removes a copy that was deleted. */
    public void copyRemoved(String name) {
        nextAttemptNanos.remove(name);
    }

    /**
     * Returns whether the record of a copy is to be created now; if so, the next attempt is due after the retry
     * interval.
     */
    public boolean beginAttemptIfDue(String name, long nowNanos) {
        Long dueNanos = nextAttemptNanos.get(name);
        if (dueNanos == null || nowNanos - dueNanos < 0) {
            return false;
        }
        nextAttemptNanos.put(name, nowNanos + RETRY_INTERVAL_NANOS);
        return true;
    }

    /**
     * Returns whether a copy is too old for its record to be created.
     *
     * @param ageMillis the age of the copy by the wall clock of the host that holds it, since the monotonic clock
     *     restarts with the process
     */
    public boolean isExpired(long ageMillis) {
        return ageMillis > retentionMillis;
    }
}
