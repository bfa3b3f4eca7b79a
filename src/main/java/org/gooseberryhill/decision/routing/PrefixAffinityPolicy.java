package org.gooseberryhill.decision.routing;

import java.util.Optional;

/**
 * Routes requests with the same prompt prefix to the same endpoint while its load is below a bound, and delegates to a
 * fallback policy otherwise. Not thread-safe.
 *
 * <p>Implements consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016).
 */
public final class PrefixAffinityPolicy implements RoutePolicy {
    private static final int MAX_RING_STEPS = 4;

    private final RoutePolicy fallback;
    private final double maxLoad;

    /**
     * Creates a policy.
     *
     * @param fallback the policy for requests without a prefix or without a usable endpoint below {@code maxLoad}
     * @param maxLoad the load, as online requests per slot, from which an endpoint is no longer chosen by prefix
     */
    public PrefixAffinityPolicy(RoutePolicy fallback, double maxLoad) {
        this.fallback = fallback;
        this.maxLoad = maxLoad;
    }

    @Override
    public Optional<EndpointState> choose(ServicePool pool, RouteRequest request, long nowNanos) {
        if (request.prefixHash() == 0 || pool.endpoints().isEmpty()) {
            return fallback.choose(pool, request, nowNanos);
        }
        for (int step = 0; step < MAX_RING_STEPS; step++) {
            EndpointState candidate = pool.ringOwnerAt(request.prefixHash(), step);
            boolean usable = candidate.isEligible(nowNanos)
                    && !request.tried().contains(candidate.name())
                    && candidate.load() < maxLoad;
            if (usable) {
                return Optional.of(candidate);
            }
        }
        return fallback.choose(pool, request, nowNanos);
    }
}
