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
    /** Longer than a gateway takes to create the record after an outage and to have the copies deleted. */
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** The interval between attempts: outages are either longer or much shorter, and each call has a cost. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final long retentionMillis;
    private final Map<String, Long> dueNanos = new HashMap<>();

    /**
     * Creates a timing without copies.
     *
     * @param retentionMillis how long a finished batch is kept; an older copy may belong to a batch that was deleted
     */
    public OutboxTiming(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Adds a copy that was stored, or found on disk at startup. */
    public void kept(String name, long nowNanos) {
        dueNanos.put(name, nowNanos + PATIENCE_NANOS);
    }

    /** Makes the record of a copy due at once, since this host is being emptied. */
    public void hurry(String name, long nowNanos) {
        dueNanos.computeIfPresent(name, (key, due) -> due - nowNanos > 0 ? nowNanos : due);
    }

    /** Removes a copy that was deleted. */
    public void dropped(String name) {
        dueNanos.remove(name);
    }

    /**
     * Returns whether the record of a copy is to be created now; if so, the next attempt is due after the retry
     * interval.
     */
    public boolean takeTry(String name, long nowNanos) {
        Long due = dueNanos.get(name);
        if (due == null || nowNanos - due < 0) {
            return false;
        }
        dueNanos.put(name, nowNanos + RETRY_NANOS);
        return true;
    }

    /**
     * Returns whether a copy is too old for its record to be created.
     *
     * @param keptMillis the age of the copy by the wall clock of the host that holds it, since the monotonic clock
     *     restarts with the process
     */
    public boolean isExpired(long keptMillis) {
        return keptMillis > retentionMillis;
    }
}
