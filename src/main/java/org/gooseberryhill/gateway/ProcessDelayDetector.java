package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the process was not running for a while. Such a delay explains why requests waited although nothing that
 * they used was slow. Not thread-safe.
 *
 * <p>Two clocks are compared, since the monotonic clock of a suspended host stops with it. A step of the wall clock is
 * reported as well, because it cannot be distinguished from a suspension.
 */
final class ProcessDelayDetector {
    /** Shorter delays are normal on a host that may use only a part of one core. */
    static final long MIN_REPORTED_MILLIS = 200;

    private final long periodMillis;
    private OptionalLong lastNanos = OptionalLong.empty();
    private long lastEpochMillis;

    /**
     * Creates a detector.
     *
     * @param periodMillis expected time between two ticks
     */
    ProcessDelayDetector(long periodMillis) {
        this.periodMillis = periodMillis;
    }

    /** Records the current time of both clocks; returns the delay of this tick if it is long enough to be reported. */
    Optional<Delay> tick(long nowNanos, long nowEpochMillis) {
        OptionalLong previousNanos = lastNanos;
        long elapsedEpochMillis = nowEpochMillis - lastEpochMillis;
        lastNanos = OptionalLong.of(nowNanos);
        lastEpochMillis = nowEpochMillis;
        if (previousNanos.isEmpty()) {
            return Optional.empty();
        }
        long elapsedMonotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - previousNanos.getAsLong());
        long suspendedMillis = Math.max(0, elapsedEpochMillis - elapsedMonotonicMillis);
        long lateMillis = Math.max(elapsedMonotonicMillis, elapsedEpochMillis) - periodMillis;
        return lateMillis < MIN_REPORTED_MILLIS
                ? Optional.empty()
                : Optional.of(new Delay(lateMillis, suspendedMillis));
    }

    /**
     * Time for which the process was not running. Immutable.
     *
     * @param millis delay of a tick
     * @param suspendedMillis part of it that the monotonic clock did not count
     */
    record Delay(long millis, long suspendedMillis) {}
}
