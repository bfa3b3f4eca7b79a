package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * When items give back what an endpoint has too much. Not thread-safe.
 *
 * <p>Failure: reports of two hosts cross, an endpoint seems too full for some milliseconds, and items break off and start
 * again elsewhere for nothing. A request that waits this long at an endpoint is far from its target, while most such
 * moments have passed.
 */
public final class YieldTiming {
    /** Some trips between zones, and a tenth of the shortest target latency to the first event in use. */
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final Map<EndpointKey, Long> fullSinceNanos = new HashMap<>();

    /** How many of its items a host gives back now, if this many are too many. */
    public int due(EndpointKey endpoint, int tooMany, long nowNanos) {
        if (tooMany <= 0) {
            fullSinceNanos.remove(endpoint);
            return 0;
        }
        long since = fullSinceNanos.computeIfAbsent(endpoint, key -> nowNanos);
        return nowNanos - since >= GRACE_NANOS ? tooMany : 0;
    }
}
