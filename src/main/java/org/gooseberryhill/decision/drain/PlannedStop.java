package org.gooseberryhill.decision.drain;

import java.util.concurrent.TimeUnit;

/**
 * The planned stop of one process. Not thread-safe, but any thread may ask for the phase.
 *
 * <p>Invariant: after the stop is asked for nothing new is taken in, and the process ends only when nothing is in
 * progress or the bound has passed. Asking again changes nothing, so a second signal can't cut what the first waits
 * for. A grace period comes first in which new requests are still served: the balancer and the peers need it to learn
 * of the stop, or their next requests would meet a closed door.
 */
public final class PlannedStop {
    /** How far the stop is. */
    public enum Phase {
        /** No stop was asked for. */
        SERVING,
        /** Announced as not ready; what still comes is served. */
        ANNOUNCED,
        /** Nothing new is taken in. */
        DRAINING,
        /** The process ends now. */
        ENDED
    }

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

    /** Asks for the stop; a second time changes nothing. */
    public void ask(long nowNanos) {
        if (phase == Phase.SERVING) {
            phase = Phase.ANNOUNCED;
            sinceNanos = nowNanos;
        }
    }

    /** Advances the stop. */
    public Phase advance(int inProgress, long nowNanos) {
        long elapsedNanos = nowNanos - sinceNanos;
        if (phase == Phase.ANNOUNCED && elapsedNanos >= graceNanos) {
            phase = Phase.DRAINING;
        }
        boolean drained = inProgress == 0 || elapsedNanos >= boundNanos;
        if (phase == Phase.DRAINING && drained) {
            phase = Phase.ENDED;
        }
        return phase;
    }

    /** Whether a stop was asked for and its bound is nearer than this: what begins now might be cut. */
    public boolean endsWithin(long millis, long nowNanos) {
        long leftNanos = boundNanos - (nowNanos - sinceNanos);
        return phase != Phase.SERVING && leftNanos < TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** The phase as last advanced. */
    public Phase phase() {
        return phase;
    }

    /** Whether new requests are taken in. */
    public boolean takesNew() {
        return phase == Phase.SERVING || phase == Phase.ANNOUNCED;
    }
}
