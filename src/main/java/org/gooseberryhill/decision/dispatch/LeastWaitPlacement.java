package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the endpoint where a request is likely to start earliest. Not thread-safe.
 *
 * <p>Items of request batches add little to the cost, since they yield within a round trip. Ties are broken at random,
 * so that hosts with the same reports do not all choose the same endpoint.
 */
public final class LeastWaitPlacement implements PlacementPolicy {
    /** Extra cost of a slot that a batch item has to yield first, over a free slot: two trips between zones. */
    private static final double YIELD_MILLIS = 6;

    /** A round trip to another availability zone. */
    private static final double OTHER_ZONE_MILLIS = 3;

    /** Extra time until the first event at a full endpoint, which takes longer for each event than an idle one. */
    private static final double FULL_LOAD_MILLIS = 10;

    /** Time to set up a connection: a round trip and the work that it takes at the endpoint. */
    private static final double CONNECT_MILLIS = 3;

    /** Prefill time of an engine per prompt token; the engines in use process some hundred tokens per millisecond. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.01;

    private final Random random;

    /** Creates a placement that uses a seeded random source. */
    public LeastWaitPlacement(Random random) {
        this.random = random;
    }

    @Override
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementCase placement) {
        FleetEndpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (FleetEndpoint candidate : endpoints) {
            if (!candidate.isUsable(placement.nowNanos())
                    || placement.excluded().contains(candidate.key())) {
                continue;
            }
            double cost = cost(candidate, placement) + random.nextDouble();
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double cost(FleetEndpoint endpoint, PlacementCase placement) {
        double yieldMillis = endpoint.freeSlots() > 0 ? 0 : YIELD_MILLIS;
        double zoneMillis = endpoint.isIn(placement.zone()) ? 0 : OTHER_ZONE_MILLIS;
        double relativeDuration = placement.relativeDuration(endpoint);
        double loadMillis = loadMillis(endpoint, relativeDuration);
        double connectMillis = placement.isConnected(endpoint) ? 0 : CONNECT_MILLIS;
        double prefillMillis = PREFILL_MILLIS_PER_TOKEN * placement.prefillTokens(endpoint);
        double warmUpMillis = Math.max(0, endpoint.entry().warmUpLeftMillis());
        return WaitForecast.waitMillis(endpoint, placement.meanRunMillis() * relativeDuration)
                + yieldMillis
                + zoneMillis
                + connectMillis
                + prefillMillis
                + loadMillis
                + warmUpMillis;
    }

    /**
     * Returns the cost of the load that the request would make. At equal speeds it orders endpoints by their load alone; at
     * others the number of requests in flight becomes proportional to the speed.
     */
    private static double loadMillis(FleetEndpoint endpoint, double relativeDuration) {
        return FULL_LOAD_MILLIS
                * relativeDuration
                * (endpoint.online() + 1)
                / endpoint.entry().slots();
    }
}
