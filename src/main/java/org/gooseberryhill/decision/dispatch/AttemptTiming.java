package org.gooseberryhill.decision.dispatch;

/**
 * How long an answered attempt took, as measured by the host that sent it. Immutable.
 *
 * @param nanos time for which the attempt was in flight
 * @param eventNanos mean time between the last events of its stream; 0 if it is not known, because the answer had too few
 *     events or the host itself was paused meanwhile
 */
public record AttemptTiming(long nanos, long eventNanos) {
    /** Returns the timing of an attempt whose time between events is not known. */
    public static AttemptTiming ofDuration(long nanos) {
        return new AttemptTiming(nanos, 0);
    }
}
