package org.gooseberryhill.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether direct calls of this host reach the key-value store. Thread-safe.
 *
 * <p>Failure: the store refuses calls of some hosts and serves the others; a host that keeps calling pays for each
 * refusal and gets nothing done. After a failed call the host relays its calls through others, and retries directly
 * after an interval.
 *
 * <p>Invariant: calls are ordered by the time at which they were sent. A call that hung during an outage fails seconds
 * after later calls were answered; it says nothing about the current state of the store.
 */
final class StoreReach {
    /**
     * Interval between direct calls while the store is unreachable: each has a cost, and other hosts relay calls
     * meanwhile.
     */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private boolean direct = true;
    private long failedNanos;
    private long answeredSentNanos = Long.MIN_VALUE;

    /** Returns whether the latest direct call was answered. */
    synchronized boolean isDirect() {
        return direct;
    }

    /** Returns whether a direct call may be made now. */
    synchronized boolean mayTry(long nowNanos) {
        return direct || nowNanos - failedNanos >= PAUSE_NANOS;
    }

    /**
     * Records that a direct call sent at the given time was answered; returns whether the store counted as lost before.
     */
    synchronized boolean answered(long sentNanos) {
        if (answeredSentNanos == Long.MIN_VALUE || sentNanos - answeredSentNanos > 0) {
            answeredSentNanos = sentNanos;
        }
        boolean regained = !direct;
        direct = true;
        return regained;
    }

    /**
     * Records that a direct call sent at the given time failed; returns whether the store counts as lost from now on.
     */
    synchronized boolean failed(long sentNanos, long nowNanos) {
        if (answeredSentNanos != Long.MIN_VALUE && sentNanos - answeredSentNanos < 0) {
            return false;
        }
        boolean lost = direct;
        failedNanos = nowNanos;
        direct = false;
        return lost;
    }
}
