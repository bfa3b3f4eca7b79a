package org.gooseberryhill.decision.drain;

import java.util.concurrent.TimeUnit;

/**
 * The state machine of a process's planned stop. Not thread-safe, except that any thread may read the phase.
 *
 * <p>The process ends only when nothing is in progress and no request can arrive any more, or when the time bound has
 * passed. It is not enough that nothing is in progress: a connected caller could still send a request, which would be
 * accepted and lost. Requesting the stop again has no effect, so a second signal cannot cut off work that the first one
 * waits for.
 *
 * <p>The stop begins with a grace period in which all requests are still accepted, because the load balancer and the
 * peers need time to learn of the stop; it takes at most half of the bound. After it, only requests that are certain to
 * end before the bound are accepted. Shortly before the bound the process stops accepting requests altogether and gives
 * those that are still unanswered their final answer, so that no caller is left connected with an unanswered request when
 * the process ends.
 */
public final class PlannedStop {
    /** The phases of a planned stop, in order. */
    public enum Phase {
        /** No stop was requested. */
        SERVING,
        /** The process reports itself as not ready; requests that still arrive are served. */
        ANNOUNCED,
        /** Work in progress is completed; idle connections are closed. */
        DRAINING,
        /** Nothing was in progress, or the bound is near: the process stops listening and closes its connections. */
        CLOSING,
        /** The stop is complete and the process exits. */
        ENDED
    }

    /**
     * Time before the bound in which no request is accepted. The refusals of those that still arrive, and the final answers
     * of those that are unanswered, are sent in that time.
     */
    private static final long CLOSING_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Divisor of the bound that limits {@link #CLOSING_WINDOW_NANOS} if the bound is short. */
    private static final long CLOSING_DIVISOR = 10;

    private final long graceNanos;
    private long boundNanos;
    private volatile Phase phase = Phase.SERVING;
    private long requestedNanos;

    /**
     * Creates a stop that has not been requested.
     *
     * @param graceMillis how long all requests are still accepted
     * @param boundMillis the time after which the process ends even with requests in progress
     */
    public PlannedStop(long graceMillis, long boundMillis) {
        this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
        this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
    }

    /** Changes the time limit after a reload of the settings. A stop that has been requested keeps its time limit. */
    public void updateTimeLimitMillis(long timeLimitMillis) {
        if (phase == Phase.SERVING) {
            boundNanos = TimeUnit.MILLISECONDS.toNanos(timeLimitMillis);
        }
    }

    /**
     * Begins the stop. Further calls have no effect.
     *
     * @param requestTimeNanos when the stop was requested; the grace period and the bound count from then
     */
    public void request(long requestTimeNanos) {
        if (phase == Phase.SERVING) {
            phase = Phase.ANNOUNCED;
            requestedNanos = requestTimeNanos;
        }
    }

    /**
     * Advances the stop to the given time and returns its phase.
     *
     * @param inProgress the number of requests and other units of work that have begun and not ended
     * @param requestsMayArrive whether new requests may still arrive: callers are connected, or can connect
     */
    public Phase advance(int inProgress, boolean requestsMayArrive, long nowNanos) {
        long elapsedNanos = nowNanos - requestedNanos;
        if (phase == Phase.ANNOUNCED && elapsedNanos >= Math.min(graceNanos, boundNanos / 2)) {
            phase = Phase.DRAINING;
        }
        boolean boundIsNear = elapsedNanos >= answerBoundNanos();
        if (phase == Phase.DRAINING && (inProgress == 0 || boundIsNear)) {
            phase = Phase.CLOSING;
        }
        boolean graceOver = phase == Phase.DRAINING || phase == Phase.CLOSING;
        boolean nothingLeft = phase == Phase.CLOSING && inProgress == 0 && !requestsMayArrive;
        if (nothingLeft || graceOver && elapsedNanos >= boundNanos) {
            phase = Phase.ENDED;
        }
        return phase;
    }

    /**
     * Returns whether a request that arrives now is accepted.
     *
     * @param maxDurationMillis the longest time that the request may take
     */
    public boolean acceptsRequest(long maxDurationMillis, long nowNanos) {
        long remainingNanos = answerBoundNanos() - (nowNanos - requestedNanos);
        return acceptsAllRequests() || remainingNanos >= TimeUnit.MILLISECONDS.toNanos(maxDurationMillis);
    }

    /** Returns whether the process is about to end, so that each request needs its final answer now. */
    public boolean endsSoon(long nowNanos) {
        return phase != Phase.SERVING && nowNanos - requestedNanos >= answerBoundNanos();
    }

    /** Returns the time after the stop request at which requests have to be answered. */
    private long answerBoundNanos() {
        return boundNanos - Math.min(CLOSING_WINDOW_NANOS, boundNanos / CLOSING_DIVISOR);
    }

    /** Returns the phase as of the last call of {@link #advance}. */
    public Phase phase() {
        return phase;
    }

    /** Returns whether requests of any length are accepted: no stop was requested, or its grace period is not over. */
    public boolean acceptsAllRequests() {
        return phase == Phase.SERVING || phase == Phase.ANNOUNCED;
    }
}
