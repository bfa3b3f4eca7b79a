package org.gooseberryhill.decision.routing;

import java.util.Optional;

/**
 * Sends requests with the same prompt beginning to the same endpoint while it is not overloaded, after consistent
 * hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2016); else as another policy says. Not thread-safe.
 */
public final class PrefixAffinityPolicy implements RoutePolicy {
    private static final int MAX_STEPS = 4;

    private final RoutePolicy fallback;
    private final double maxLoad;

    /**
     * A policy over a fallback.
     *
     * @param maxLoad online requests as a share of the slots up to which affinity goes before balance
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
        for (int step = 0; step < MAX_STEPS; step++) {
            EndpointState candidate = pool.onRing(request.prefixHash(), step);
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
