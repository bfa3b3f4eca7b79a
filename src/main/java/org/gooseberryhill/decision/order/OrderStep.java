package org.gooseberryhill.decision.order;

/** The next step towards the model that an endpoint is to hold. Immutable. */
public sealed interface OrderStep {
    /** Do nothing now. */
    record Idle() implements OrderStep {}

    /** Claim the endpoint under this host's lease and pass the answer to {@link EndpointOrders#claimed}. */
    record Claim() implements OrderStep {}

    /**
     * Send the order and call {@link EndpointOrders#orderEnded} at its end.
     *
     * @param fence the revision of the claim, which the order carries as its fencing token
     * @param holding what the endpoint is to hold
     */
    record Send(long fence, ModelHolding holding) implements OrderStep {}
}
