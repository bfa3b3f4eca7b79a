package org.gooseberryhill.decision.drain;

import java.util.concurrent.TimeUnit;

/**
 * The planned stop of one process. Not thread-safe, but any thread may ask for the phase.
 *
 * <p>Invariants: the process ends only when nothing is in progress and nothing can come in any more, or when the bound has
 * passed. That nothing is in progress is not enough while callers are connected: their next request would be taken in
 * and lost. Asking again changes nothing, so a second signal can't cut what the first waits for. A grace period comes
 * first in which new requests are still served, since the balancer and the peers need time to learn of the stop; it takes
 * half of the bound at the most. After it only that is taken in which is certainly over before the bound. Shortly before
 * the bound nothing comes in any more, so that nobody is connected whose request has no answer when the process ends.
 */
public final class PlannedStop {
    /** How far the stop is. */
    public enum Phase {
        /** No stop was asked for. */
        SERVING,
        /** Announced as not ready; what still comes is served. */
        ANNOUNCED,
        /** What is in progress ends; connections that wait for a request are closed. */
        DRAINING,
        /** Nothing was in progress, or the bound is near: the process stops listening and closes what is still connected. */
        CLOSING,
        /** The process ends now. */
        ENDED
    }

    /** How long before the bound nothing new comes in any more: what is on its way is turned away in that time. */
    private static final long CLOSING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Of a short bound it is this part. */
    private static final long CLOSING_PART = 10;

    private final long graceNanos;
    private long boundNanos;
    private volatile Phase phase = Phase.SERVING;
    private long sinceNanos;

    /**
     * A stop with its times.
     *
     * @param graceMillis how long requests are still taken in
     * @param boundMillis after which the process ends even with requests in progress
     */
    public PlannedStop(long graceMillis, long boundMillis) {
        this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
        this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
    }

    /** Changes the bound, by a reload of the settings; one that was asked for already keeps its own. */
    public void bound(long boundMillis) {
        if (phase == Phase.SERVING) {
            boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
        }
    }

    /** Begins the stop that was asked for at a moment, from which its times count; a second time changes nothing. */
    public void ask(long askedNanos) {
        if (phase == Phase.SERVING) {
            phase = Phase.ANNOUNCED;
            sinceNanos = askedNanos;
        }
    }

    /**
     * Advances the stop.
     *
     * @param inProgress how much has begun and not ended
     * @param reachable whether something new may still come in: callers are connected, or can connect
     */
    public Phase advance(int inProgress, boolean reachable, long nowNanos) {
        long elapsedNanos = nowNanos - sinceNanos;
        if (phase == Phase.ANNOUNCED && elapsedNanos >= Math.min(graceNanos, boundNanos / 2)) {
            phase = Phase.DRAINING;
        }
        boolean boundIsNear = elapsedNanos >= boundNanos - Math.min(CLOSING_NANOS, boundNanos / CLOSING_PART);
        if (phase == Phase.DRAINING && (inProgress == 0 || boundIsNear)) {
            phase = Phase.CLOSING;
        }
        boolean graceOver = phase == Phase.DRAINING || phase == Phase.CLOSING;
        boolean nothingLeft = phase == Phase.CLOSING && inProgress == 0 && !reachable;
        if (nothingLeft || graceOver && elapsedNanos >= boundNanos) {
            phase = Phase.ENDED;
        }
        return phase;
    }

    /**
     * Whether a request that comes now is taken in.
     *
     * @param allowedMillis how long the request may last at the most
     */
    public boolean takes(long allowedMillis, long nowNanos) {
        long leftNanos = boundNanos - (nowNanos - sinceNanos);
        return takesAll() || leftNanos >= TimeUnit.MILLISECONDS.toNanos(allowedMillis);
    }

    /** The phase as last advanced. */
    public Phase phase() {
        return phase;
    }

    /** Whether requests are taken in however long they may last: no stop was asked for, or its grace is not over. */
    public boolean takesAll() {
        return phase == Phase.SERVING || phase == Phase.ANNOUNCED;
    }
}
