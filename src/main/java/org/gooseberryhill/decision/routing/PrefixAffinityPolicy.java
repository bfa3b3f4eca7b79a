package org.gooseberryhill.decision.routing;

import java.util.Optional;

/**
 * Routes requests with the same prompt prefix to the same endpoint while its load is below a bound, and delegates to a
 * fallback policy otherwise. Not thread-safe.
 */
public final class PrefixAffinityPolicy implements RoutePolicy {
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
        EndpointState owner = pool.ringOwner(request.prefixHash());
        boolean usable =
                owner.isEligible(nowNanos) && !request.tried().contains(owner.name()) && owner.load() < maxLoad;
        if (usable) {
            return Optional.of(owner);
        }
        return fallback.choose(pool, request, nowNanos);
    }
}
