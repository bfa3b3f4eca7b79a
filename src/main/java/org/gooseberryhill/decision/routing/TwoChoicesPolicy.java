package org.gooseberryhill.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Takes the better of two random endpoints by predicted wait (Mitzenmacher, 2001). Not thread-safe.
 *
 * <p>The cost does not grow with the number of endpoints; only if several random picks in a row are not eligible are
 * all looked at. Two random picks also keep entries with the same stale reports from all choosing the same endpoint.
 */
public final class TwoChoicesPolicy implements RoutePolicy {
    private static final int MAX_PICKS = 8;

    /** A trip to another zone and back, in milliseconds: twice the brief's 1.5. */
    private static final double OTHER_ZONE_MILLIS = 3;

    /** A fully loaded endpoint answers slower than an idle one even before it queues. */
    private static final double FULL_LOAD_MILLIS = 40;

    private final Random random;

    /** A policy that draws from a seeded source. */
    public TwoChoicesPolicy(Random random) {
        this.random = random;
    }

    @Override
    public Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos) {
        Optional<EndpointState> one = pick(pool.endpoints(), request, nowNanos);
        if (one.isEmpty()) {
            return scan(pool.endpoints(), request, nowNanos);
        }
        Optional<EndpointState> other = pick(pool.endpoints(), request, nowNanos);
        if (other.isEmpty()) {
            return one;
        }
        return cost(other.get(), request) < cost(one.get(), request) ? other : one;
    }

    private Optional<EndpointState> pick(List<EndpointState> endpoints, RouteRequest request, long nowNanos) {
        for (int i = 0; i < MAX_PICKS && !endpoints.isEmpty(); i++) {
            EndpointState candidate = endpoints.get(random.nextInt(endpoints.size()));
            if (isUsable(candidate, request, nowNanos)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private static Optional<EndpointState> scan(List<EndpointState> endpoints, RouteRequest request, long nowNanos) {
        EndpointState best = null;
        for (EndpointState candidate : endpoints) {
            boolean better = best == null || cost(candidate, request) < cost(best, request);
            if (better && isUsable(candidate, request, nowNanos)) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isUsable(EndpointState candidate, RouteRequest request, long nowNanos) {
        return candidate.isEligible(nowNanos) && !request.tried().contains(candidate.name());
    }

    static double cost(EndpointState endpoint, RouteRequest request) {
        double zoneMillis = endpoint.isIn(request.entryZone()) ? 0 : OTHER_ZONE_MILLIS;
        double loadMillis = (endpoint.load() + endpoint.batchLoad() / 2) * FULL_LOAD_MILLIS;
        return endpoint.predictedWaitMillis() + loadMillis + zoneMillis;
    }
}
