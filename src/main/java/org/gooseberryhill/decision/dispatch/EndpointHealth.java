package org.gooseberryhill.decision.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the health of an endpoint from its latest attempts and ejects it from placement after failures. Not
 * thread-safe.
 *
 * <p>Guards against an endpoint that has crashed or is unreachable while its registration remains for some seconds:
 * each request placed there would lose time. The endpoint is ejected after the first unreachable attempt or after
 * several consecutive failures, for a time that doubles with each ejection; one success readmits it. An unreachable
 * endpoint gets no request until a probe has connected to it: otherwise each host would use a caller's request to test
 * the endpoint each time that its ejection ends.
 */
final class EndpointHealth {
    /** Consecutive failures that eject an endpoint: one or two may be caused by the requests themselves. */
    private static final int FAILURES_BEFORE_EJECTION = 3;

    /** First ejection time: long enough to detect a restart, short enough to lose little by a false positive. */
    private static final long FIRST_EJECTION_MILLIS = 500;

    /** Doublings of the ejection time: 4 s at most, since a restarted endpoint registers within seconds. */
    private static final int MAX_EJECTION_DOUBLINGS = 3;

    /**
     * Time without placements at an endpoint that refused although it seemed to have a free slot.
     *
     * <p>Newer in-flight counts arrive within this time.
     */
    private static final long BUSY_BACKOFF_MILLIS = 40;

    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntilNanos = Long.MIN_VALUE;
    private boolean unreachable;
    private boolean probeInProgress;
    private long busyUntilNanos = Long.MIN_VALUE;

    /** Returns whether requests may be placed at the endpoint. */
    boolean isUsable(long nowNanos) {
        return !isEjected(nowNanos) && hasPassed(busyUntilNanos, nowNanos);
    }

    boolean isEjected(long nowNanos) {
        return unreachable || !hasPassed(ejectedUntilNanos, nowNanos);
    }

    /** Returns whether a connection probe is due and marks it as started; true once per probe. */
    boolean startProbeIfDue(long nowNanos) {
        boolean due = unreachable && !probeInProgress && hasPassed(ejectedUntilNanos, nowNanos);
        probeInProgress |= due;
        return due;
    }

    /** Records the result of a connection probe. */
    void onProbeEnded(boolean reached, long nowNanos) {
        probeInProgress = false;
        if (reached) {
            onSuccess();
        } else if (unreachable) {
            eject(nowNanos);
        }
    }

    /** Returns the remaining ejection time in milliseconds, or 0 if it is over. */
    long remainingEjectionMillis(long nowNanos) {
        return !hasPassed(ejectedUntilNanos, nowNanos)
                ? TimeUnit.NANOSECONDS.toMillis(ejectedUntilNanos - nowNanos)
                : 0;
    }

    void onSuccess() {
        consecutiveFailures = 0;
        ejections = 0;
        unreachable = false;
        ejectedUntilNanos = Long.MIN_VALUE;
    }

    void onBusy(long nowNanos) {
        busyUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(BUSY_BACKOFF_MILLIS);
    }

    void onFailure(long nowNanos) {
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
            eject(nowNanos);
        }
    }

    /** Ejects the endpoint until a connection probe succeeds. */
    void onUnreachable(long nowNanos) {
        consecutiveFailures++;
        unreachable = true;
        eject(nowNanos);
    }

    /** Ejects the endpoint for a time: another endpoint answers at its address, so a probe would prove nothing. */
    void onMisdirected(long nowNanos) {
        consecutiveFailures++;
        eject(nowNanos);
    }

    private void eject(long nowNanos) {
        long millis = FIRST_EJECTION_MILLIS << Math.min(ejections, MAX_EJECTION_DOUBLINGS);
        ejections++;
        ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static boolean hasPassed(long untilNanos, long nowNanos) {
        return untilNanos == Long.MIN_VALUE || nowNanos - untilNanos >= 0;
    }
}
