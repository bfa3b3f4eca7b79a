package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Notices that a process stood still: its requests waited although nothing that they met was slow. Not thread-safe.
 *
 * <p>Both clocks are looked at, since a suspended host's steady clock stands still with it. A step of the time of day is
 * told as well, and can't be told from a suspension.
 */
final class DelayWatch {
    /** Shorter delays are ordinary on a host with a share of one core. */
    static final long NOTICED_MILLIS = 200;

    private final long periodMillis;
    private OptionalLong lastNanos = OptionalLong.empty();
    private long lastEpochMillis;

    /**
     * A watch.
     *
     * @param periodMillis how often it is looked at
     */
    DelayWatch(long periodMillis) {
        this.periodMillis = periodMillis;
    }

    /** Takes in the time; returns by how much it is later than it should be, if that is worth a line. */
    Optional<Delay> tick(long nowNanos, long nowEpochMillis) {
        OptionalLong before = lastNanos;
        long epochMillis = nowEpochMillis - lastEpochMillis;
        lastNanos = OptionalLong.of(nowNanos);
        lastEpochMillis = nowEpochMillis;
        if (before.isEmpty()) {
            return Optional.empty();
        }
        long steadyMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - before.getAsLong());
        long suspendedMillis = Math.max(0, epochMillis - steadyMillis);
        long lateMillis = Math.max(steadyMillis, epochMillis) - periodMillis;
        return lateMillis < NOTICED_MILLIS ? Optional.empty() : Optional.of(new Delay(lateMillis, suspendedMillis));
    }

    /**
     * How long a process stood still. Immutable.
     *
     * @param millis by how much a look was late
     * @param suspendedMillis how much of it the steady clock did not count
     */
    record Delay(long millis, long suspendedMillis) {}
}
