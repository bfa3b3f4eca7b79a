package org.gooseberryhill.decision.promptpart;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Tells when a request with blocked parts is let through to see whether such requests still crash endpoints. */
@FunctionalInterface
public interface TrialSchedule {
    /** Returns the time from which a request is let through, in nanoseconds; empty if none is while the block stands. */
    Optional<Long> nextTrialNanos(PartBlock block);

    /** Returns whether a request is let through now. */
    default boolean isTrialDue(PartBlock block, long nowNanos) {
        return nextTrialNanos(block).map(nanos -> nowNanos - nanos >= 0).orElse(false);
    }

    /** Returns the time until a request is let through, in milliseconds; at least 1. */
    default long untilTrialMillis(PartBlock block, long nowNanos) {
        long trialNanos = nextTrialNanos(block).orElse(block.expiryNanos());
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(trialNanos - nowNanos));
    }
}
