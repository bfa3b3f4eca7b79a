package org.gooseberryhill.decision.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the cheaper of the two endpoints that a request hashes to (power of two choices; Mitzenmacher, 2001).
 * Stateless.
 *
 * <p>The cost of an endpoint is its predicted wait plus allowances for its load and its availability zone. Different
 * requests hash to different pairs, so entry hosts with the same outdated reports do not all choose the same endpoint;
 * equal requests hash to the same pair on every host, so copies of a request that crashes endpoints reach few of them
 * before the first crash is known. All endpoints are examined only if neither of the two is usable.
 */
public final class TwoChoicesPolicy implements RoutePolicy {
    /** Round trip to another availability zone, in milliseconds: twice the expected 1.5 ms. */
    private static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 3;

    /** Extra response time of a fully loaded endpoint, in milliseconds: it slows down even before requests queue. */
    private static final double FULL_LOAD_DELAY_MILLIS = 40;

    @Override
    public Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos) {
        Optional<EndpointState> candidate = findCheapest(pool.candidatesByRequest(request), request, nowNanos);
        return candidate.isPresent() ? candidate : findCheapest(pool.endpoints(), request, nowNanos);
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
