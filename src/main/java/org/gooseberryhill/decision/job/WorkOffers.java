package org.gooseberryhill.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * When an owner tells all stewards that items wait. Not thread-safe.
 *
 * <p>Failure: an offer goes to each steward of the fleet; one for each item that yields to a burst would be a storm of
 * messages among hundreds of hosts just when they are busy. An offer is made when a service begins to have waiting
 * items, not again before they have run out, and never twice within a short time. Stewards that know of the owner go on
 * asking it, and heartbeats tell the rest.
 */
public final class WorkOffers {
    private static final long MIN_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Map<String, Long> lastOfferNanos = new HashMap<>();
    private final Map<String, Boolean> offered = new HashMap<>();

    /** Items of a service wait: whether to offer them now. */
    public boolean waiting(String service, long nowNanos) {
        Long last = lastOfferNanos.get(service);
        boolean tooSoon = last != null && nowNanos - last < MIN_GAP_NANOS;
        if (tooSoon || offered.getOrDefault(service, false)) {
            return false;
        }
        offered.put(service, true);
        lastOfferNanos.put(service, nowNanos);
        return true;
    }

    /** No item of the service waits any more. */
    public void drained(String service) {
        offered.put(service, false);
    }
}
