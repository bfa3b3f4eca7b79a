package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Delays the yielding of batch items at an overcommitted endpoint by a grace period. Not thread-safe.
 *
 * <p>Guards against items that are stopped and restarted elsewhere needlessly, because the reports of two hosts cross
 * and an endpoint seems overcommitted for some milliseconds. Most such states end within the grace period, and a
 * request that waits this long at an endpoint is still far from its target latency.
 */
public final class YieldGracePeriod {
    /** Several trips between zones, and a tenth of the shortest target latency to the first event in use. */
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final Map<EndpointKey, Long> excessSinceNanos = new HashMap<>();

    /**
     * Returns how many of its items a host has to stop at an endpoint now: the whole excess once it has lasted for the
     * grace period, else 0.
     */
    public int itemsToYield(EndpointKey endpoint, int excess, long nowNanos) {
        if (excess <= 0) {
            excessSinceNanos.remove(endpoint);
            return 0;
        }
        long sinceNanos = excessSinceNanos.computeIfAbsent(endpoint, key -> nowNanos);
        return nowNanos - sinceNanos >= GRACE_NANOS ? excess : 0;
    }
}
