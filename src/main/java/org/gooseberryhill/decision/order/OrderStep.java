package org.gooseberryhill.decision.order;

/** What to do next about an endpoint's model. Immutable. */
public sealed interface OrderStep {
    /** Nothing now. */
    record Rest() implements OrderStep {}

    /** Claim the endpoint under this host's lease; the answer goes to {@link EndpointOrders#claimed}. */
    record Claim() implements OrderStep {}

    /**
     * Send the order; its end goes to {@link EndpointOrders#orderEnded}.
     *
     * @param fence the claim's revision, which the order carries
     * @param holding what the endpoint shall hold
     */
    record Send(long fence, ModelHolding holding) implements OrderStep {}
}
