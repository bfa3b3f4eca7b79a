package org.gooseberryhill.decision.dispatch;

import java.util.Random;

/**
 * A set of the interchangeable policies for routed requests.
 *
 * @param placement chooses the endpoint of an online request
 * @param overload decides which requests are refused because of load
 * @param retryAfter decides when the callers of refused requests should retry
 */
public record DispatchPolicies(PlacementPolicy placement, OverloadPolicy overload, RetryAfterPolicy retryAfter) {
    /** Returns the policies that the product uses. */
    public static DispatchPolicies defaults(Random random) {
        return new DispatchPolicies(
                new LeastWaitPlacement(random), new StandingQueuePolicy(), new SpreadRetryAfterPolicy(random));
    }

    /** Returns the baseline policies for comparison: round-robin placement, no refusals because of load. */
    public static DispatchPolicies baseline() {
        return new DispatchPolicies(new RoundRobinPlacement(), new NoOverloadPolicy(), new ForecastRetryAfterPolicy());
    }
}
