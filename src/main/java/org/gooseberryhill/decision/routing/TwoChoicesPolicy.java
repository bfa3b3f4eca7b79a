package org.gooseberryhill.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses the cheaper of two random endpoints (power of two choices; Mitzenmacher, 2001). Not thread-safe.
 *
 * <p>The cost of an endpoint is its predicted wait plus allowances for its load and its availability zone. The effort
 * does not grow with the number of endpoints: all are examined only after several random picks in a row were unusable.
 * Random picks also keep entry hosts that have the same outdated reports from all choosing the same endpoint.
 */
public final class TwoChoicesPolicy implements RoutePolicy {
    private static final int MAX_PICKS = 8;

    /** Round trip to another availability zone, in milliseconds: twice the expected 1.5 ms. */
    private static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 3;

    /** Extra response time of a fully loaded endpoint, in milliseconds: it slows down even before requests queue. */
    private static final double FULL_LOAD_DELAY_MILLIS = 40;

    private final Random random;

    /** Creates a policy that draws from a seeded random number generator. */
    public TwoChoicesPolicy(Random random) {
        this.random = random;
    }

    @Override
    public Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos) {
        Optional<EndpointState> first = pickRandom(pool.endpoints(), request, nowNanos);
        if (first.isEmpty()) {
            return findCheapest(pool.endpoints(), request, nowNanos);
        }
        Optional<EndpointState> second = pickRandom(pool.endpoints(), request, nowNanos);
        if (second.isEmpty()) {
            return first;
        }
        return costMillis(second.get(), request) < costMillis(first.get(), request) ? second : first;
    }

    private Optional<EndpointState> pickRandom(List<EndpointState> endpoints, RouteRequest request, long nowNanos) {
        for (int i = 0; i < MAX_PICKS && !endpoints.isEmpty(); i++) {
            EndpointState candidate = endpoints.get(random.nextInt(endpoints.size()));
            if (isUsable(candidate, request, nowNanos)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private static Optional<EndpointState> findCheapest(
            List<EndpointState> endpoints, RouteRequest request, long nowNanos) {
        EndpointState best = null;
        for (EndpointState candidate : endpoints) {
            boolean better = best == null || costMillis(candidate, request) < costMillis(best, request);
            if (better && isUsable(candidate, request, nowNanos)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isUsable(EndpointState candidate, RouteRequest request, long nowNanos) {
        return candidate.isEligible(nowNanos) && !request.tried().contains(candidate.name());
    }

    static double costMillis(EndpointState endpoint, RouteRequest request) {
        double zoneMillis = endpoint.isInZone(request.entryZone()) ? 0 : OTHER_ZONE_ROUND_TRIP_MILLIS;
        double loadMillis = (endpoint.load() + endpoint.batchLoad() / 2) * FULL_LOAD_DELAY_MILLIS;
        return endpoint.predictedWaitMillis() + loadMillis + zoneMillis;
    }
}
