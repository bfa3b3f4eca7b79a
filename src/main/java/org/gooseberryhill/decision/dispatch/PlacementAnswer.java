package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;

/** The answer of the coordinator of a group of endpoints to a {@link PlacementQuery}. Immutable. */
public sealed interface PlacementAnswer {
    /**
     * The request is to be sent to an endpoint, where it is counted from now on.
     *
     * @param endpoint the endpoint
     * @param facts the figures by which it was chosen
     */
    record Placed(EndpointKey endpoint, PlacementFacts facts) implements PlacementAnswer {}

    /**
     * Another group has free slots while this one has none.
     *
     * @param group the other group
     */
    record Elsewhere(EndpointGroup group) implements PlacementAnswer {}

    /**
     * The request is to be refused because of load.
     *
     * @param retryAfterMillis when the caller should retry
     * @param facts the figures behind the refusal
     */
    record Overloaded(long retryAfterMillis, OverloadFacts facts) implements PlacementAnswer {}

    /**
     * The request is to be refused because its client account has used up its quota.
     *
     * @param retryAfterMillis when the caller should retry
     */
    record OverQuota(long retryAfterMillis) implements PlacementAnswer {}

    /** No endpoint of the group can be used, or the asked host does not coordinate it. */
    record NoEndpoint() implements PlacementAnswer {}
}
