package org.gooseberryhill.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits how often an owner announces to all stewards that items are waiting. Not thread-safe.
 *
 * <p>An offer is sent to every steward. One offer for each item that yields during a burst of online requests would
 * flood hundreds of hosts with messages just when they are busy. Therefore an offer is made when a service begins to
 * have waiting items, not again until they have run out, and never twice within a minimum interval. Stewards that know
 * of the owner keep asking it for items, and heartbeats inform the others.
 */
public final class WorkOffers {
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Map<String, Long> lastOfferNanos = new HashMap<>();
    private final Map<String, Boolean> offered = new HashMap<>();

    /** Records that items of a service are waiting and returns whether to send an offer now. */
    public boolean recordWaiting(String service, long nowNanos) {
        Long last = lastOfferNanos.get(service);
        boolean tooSoon = last != null && nowNanos - last < MIN_INTERVAL_NANOS;
        if (tooSoon || offered.getOrDefault(service, false)) {
            return false;
        }
        offered.put(service, true);
        lastOfferNanos.put(service, nowNanos);
        return true;
    }

    /** Records that no item of a service is waiting any more. */
    public void recordNoneWaiting(String service) {
        offered.put(service, false);
    }
}
