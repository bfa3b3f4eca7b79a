package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Lets requests wait for most of their target latency in a transient queue, and for a small part of it in a standing
 * queue. Not thread-safe.
 *
 * <p>Load patterns: a random peak exceeds the slots by a few requests for a moment; a queue absorbs them, all are on
 * time, and the queue drains. A burst exceeds the slots for seconds; a queue only makes all requests late by its
 * length, while those refused at once can be on time after the burst. The two are told apart by whether a slot has been
 * free recently, as in controlled delay queue management (RFC 8289). In a replay 0.972 of the streams are on time for
 * bursts of 1.3 times the load, and 0.831 for bursts of 1.6 and 2.2 times; with the long bound alone 0.985 and 0.811,
 * with the short bound alone 0.962 and 0.841.
 */
public final class StandingQueuePolicy implements OverloadPolicy {
    /**
     * The longest forecast wait that is accepted in a transient queue, as a share of the target latency. The rest of
     * the target latency covers the network, the prefill, the first event and errors of the forecast.
     */
    private static final double TRANSIENT_SHARE_OF_TARGET = 0.7;

    /**
     * The longest forecast wait that is accepted in a standing queue, as a share of the target latency: less than the
     * wait behind one other request at an endpoint of the sites in use.
     */
    private static final double STANDING_SHARE_OF_TARGET = 0.3;

    /**
     * The time without a free slot after which a queue counts as standing, as a share of the target latency: by then
     * the queue has made some request wait for most of the target latency.
     */
    private static final double STANDING_AFTER_SHARE_OF_TARGET = 2.0 / 3;

    private final Map<String, Long> lastFreeNanosByService = new HashMap<>();

    @Override
    public double longestWaitMillis(OverloadCase overload) {
        if (overload.waitMillis() <= 0) {
            lastFreeNanosByService.put(overload.service(), overload.nowNanos());
        }
        double share = isStanding(overload) ? STANDING_SHARE_OF_TARGET : TRANSIENT_SHARE_OF_TARGET;
        return Math.min(share * overload.targetLatencyMillis(), overload.remainingMillis());
    }

    @Override
    public double longestTransientWaitMillis(OverloadCase overload) {
        return Math.min(TRANSIENT_SHARE_OF_TARGET * overload.targetLatencyMillis(), overload.remainingMillis());
    }

    private boolean isStanding(OverloadCase overload) {
        Long freeNanos = lastFreeNanosByService.get(overload.service());
        if (freeNanos == null) {
            return false;
        }
        double maxTransientMillis = STANDING_AFTER_SHARE_OF_TARGET * overload.targetLatencyMillis();
        return overload.nowNanos() - freeNanos > maxTransientMillis * TimeUnit.MILLISECONDS.toNanos(1);
    }
}
