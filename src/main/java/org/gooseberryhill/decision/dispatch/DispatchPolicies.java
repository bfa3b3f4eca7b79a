package org.gooseberryhill.decision.dispatch;

import java.util.Random;

/**
 * The decisions about routed requests that may be compared, as one set.
 *
 * @param placement chooses the endpoint
 * @param overload turns away
 * @param items chooses where items of request batches start
 */
public record DispatchPolicies(PlacementPolicy placement, OverloadPolicy overload, ItemPlacement items) {
    /** Waiting beyond this many target latencies makes an answer worthless to most callers. */
    private static final double WAIT_SHARE_OF_TARGET = 2.0;

    /** The product's decisions. */
    public static DispatchPolicies product(Random random) {
        return new DispatchPolicies(
                new LeastWaitPlacement(random),
                new ForecastOverloadPolicy(WAIT_SHARE_OF_TARGET),
                new ReservedSlotPlacement(random));
    }

    /** The baseline's: each endpoint in turn, nothing turned away. */
    public static DispatchPolicies baseline() {
        return new DispatchPolicies(new RoundRobinPlacement(), new NoOverloadPolicy(), new AnyFreeSlotPlacement());
    }
}
