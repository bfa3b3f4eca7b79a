package org.gooseberryhill.decision.promptpart;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.promptpart.PartBlock.DecidingCrash;

/**
 * What speaks against a part. Immutable.
 *
 * @param crashes the crashes that count against it, in order
 * @param sequential the longest chain of crashes each of whose runs was sent after the crash before; losses of several
 *     endpoints at a time count only as its beginning, and not at all if some of them did not have the part
 * @param alone the number of crashes that are no such losses
 * @param servedBefore whether the part was served before the first of them
 * @param runNanos how long runs with the part take, in nanoseconds
 */
record PartStanding(List<RecordedCrash> crashes, int sequential, int alone, boolean servedBefore, long runNanos) {
    /** Crashes that confine a part which nobody is known to have served. */
    static final int CRASHES_BEFORE_CONFINEMENT = 2;

    /** Crashes, one after the other, that block a part which nobody is known to have served. */
    private static final int CRASHES_OF_UNSERVED_PART = 3;

    /** Crashes that block a part which was served before them. */
    private static final int CRASHES_OF_SERVED_PART = 5;

    /** Shortest time in which an answer can still clear a part that was served before. */
    private static final long MIN_SERVED_PART_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The same in run times of the part, so that a run that was sent after the first crash can end. */
    private static final double SERVED_PART_HOLD_RUNS = 1.5;

    /** Time in which hosts that have served a part tell so: longer than they wait for each other. */
    private static final long TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Returns whether requests with the part need a permit. */
    boolean isSuspect() {
        return !crashes.isEmpty() && !servedBefore;
    }

    /** Returns whether requests with the part run apart from other suspects. */
    boolean isConfined() {
        return isSuspect() && sequential >= CRASHES_BEFORE_CONFINEMENT;
    }

    /** Returns whether the part is blocked for the crashes, unless another one explains them. */
    boolean isCause(long nowNanos) {
        if (!servedBefore) {
            return sequential >= CRASHES_OF_UNSERVED_PART;
        }
        long holdNanos = Math.max(MIN_SERVED_PART_HOLD_NANOS, (long) (SERVED_PART_HOLD_RUNS * runNanos));
        return alone >= CRASHES_OF_SERVED_PART
                && sequential >= CRASHES_BEFORE_CONFINEMENT
                && nowNanos - firstNanos() >= holdNanos
                && nowNanos - crashes.get(CRASHES_OF_SERVED_PART - 1).atNanos() >= TELLING_NANOS;
    }

    long firstNanos() {
        return crashes.get(0).atNanos();
    }

    long lastNanos() {
        return crashes.get(crashes.size() - 1).atNanos();
    }

    List<DecidingCrash> decidingCrashes() {
        return crashes.stream()
                .map(crash -> new DecidingCrash(
                        crash.endpoint().id(), crash.reporter().value(), crash.atNanos()))
                .toList();
    }
}
