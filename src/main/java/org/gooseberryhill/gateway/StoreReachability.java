package org.gooseberryhill.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Tracks whether direct calls of this host reach the key-value store. Thread-safe.
 *
 * <p>Guards against a store that refuses the calls of some hosts and serves the others: each refused call has a cost,
 * and a host that kept calling would make no progress. After a failed call the host therefore relays its calls through
 * others, and retries directly after an interval.
 *
 * <p>Invariant: calls are ordered by the time at which they were sent. A call that hung during an outage fails seconds
 * after later calls were answered; it says nothing about the current state of the store.
 */
final class StoreReachability {
    /**
     * Interval between direct calls while the store is unreachable: each has a cost, and other hosts relay calls
     * meanwhile. It counts from the start of the last call: one that hangs must not delay the next one, which the store may
     * answer.
     */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private boolean reachable = true;
    private long lastAttemptNanos;
    private long lastAnsweredCallSentNanos = Long.MIN_VALUE;

    /** Returns whether the latest direct call was answered. */
    synchronized boolean isReachable() {
        return reachable;
    }

    /**
     * Returns whether a direct call may be made now. While the store is unreachable, only one caller in each interval may:
     * its call shows for all whether the store answers again.
     */
    synchronized boolean tryCallDirectly(long nowNanos) {
        if (reachable) {
            return true;
        }
        if (nowNanos - lastAttemptNanos < RETRY_INTERVAL_NANOS) {
            return false;
        }
        lastAttemptNanos = nowNanos;
        return true;
    }

    /**
     * Records that a direct call sent at the given time was answered; returns whether the store counted as lost before.
     */
    synchronized boolean recordAnswer(long sentNanos) {
        if (lastAnsweredCallSentNanos == Long.MIN_VALUE || sentNanos - lastAnsweredCallSentNanos > 0) {
            lastAnsweredCallSentNanos = sentNanos;
        }
        boolean regained = !reachable;
        reachable = true;
        return regained;
    }

    /**
     * Records that a direct call sent at the given time failed; returns whether the store counts as lost from now on.
     */
    synchronized boolean recordFailure(long sentNanos, long nowNanos) {
        if (lastAnsweredCallSentNanos != Long.MIN_VALUE && sentNanos - lastAnsweredCallSentNanos < 0) {
            return false;
        }
        if (!reachable) {
            return false;
        }
        lastAttemptNanos = nowNanos;
        reachable = false;
        return true;
    }
}
