package org.gooseberryhill.decision.dispatch;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Gives each refused caller its own retry time, one after the other, no faster than a share of the slots becomes free.
 * Not thread-safe.
 *
 * <p>Load pattern: a burst of some seconds exceeds the capacity of the slots and is followed by a period of low load.
 * Callers that are all told the current wait retry together during the burst, and most are refused again: 102 of 1,000
 * in a replay of long bursts, against 18 with separate retry times. The longer the burst, the more callers hold earlier
 * retry times and the later is the next one, which moves it past the end of the burst.
 */
public final class SpreadRetryAfterPolicy implements RetryAfterPolicy {
    /** Share of the slots that retries get during a burst; new requests use the rest. */
    private static final double RETRY_SHARE_OF_SLOTS = 0.1;

    /**
     * Longest retry time as a share of the time until the request's deadline: callers of the user interface wait at
     * most a third of that time.
     */
    private static final double MAX_SHARE_OF_REMAINING = 1.0 / 3;

    /**
     * A retry time above the longest one is replaced by a random time from the last part of the range up to it, so that
     * such retry times do not coincide. This is the length of that part as a share of the longest retry time.
     */
    private static final double JITTER_SHARE = 0.25;

    private final Random random;
    private long nextRetryNanos = Long.MIN_VALUE;

    /** Creates a policy that uses a seeded random source. */
    public SpreadRetryAfterPolicy(Random random) {
        this.random = random;
    }

    @Override
    public long retryAfterMillis(OverloadCase overload) {
        long earliestRetryNanos =
                overload.nowNanos() + TimeUnit.MILLISECONDS.toNanos((long) Math.ceil(overload.waitMillis()));
        boolean hasEarlierRetries = nextRetryNanos != Long.MIN_VALUE && nextRetryNanos - earliestRetryNanos > 0;
        long retryNanos = hasEarlierRetries ? nextRetryNanos : earliestRetryNanos;
        long millis = TimeUnit.NANOSECONDS.toMillis(retryNanos - overload.nowNanos());
        long maxRetryAfterMillis = (long) (overload.remainingMillis() * MAX_SHARE_OF_REMAINING);
        if (millis > maxRetryAfterMillis) {
            return Math.max(1, (long) (maxRetryAfterMillis * (1 - JITTER_SHARE * random.nextDouble())));
        }
        nextRetryNanos = retryNanos + gapNanos(overload);
        return Math.max(1, millis);
    }

    private static long gapNanos(OverloadCase overload) {
        double slotsForRetries = Math.max(1, overload.slots()) * RETRY_SHARE_OF_SLOTS / overload.hostCount();
        double gapMillis = overload.meanRunMillis() / slotsForRetries;
        return (long) (gapMillis * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
