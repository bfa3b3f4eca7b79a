package org.gooseberryhill.decision.order;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this host sends model orders to one endpoint. Not thread-safe.
 *
 * <p>Invariant: an order is sent only while this host's lease is usable and its claim on the endpoint exists, and only
 * one order is in flight at a time.
 *
 * <p>This guards against orders that arrive out of sequence: a host pauses with an order on its way, another host takes
 * over, and the old order arrives last. An endpoint that checks fencing tokens refuses the old order. For other
 * endpoints, the new holder of the claim waits for the length of a lease plus the longest duration of an order before
 * its first order; by then the old order has either arrived or never will.
 */
public final class EndpointOrders {
    private final OrderSettings settings;
    private final boolean checksFences;
    private Optional<Long> fence = Optional.empty();
    private boolean claimPending;
    private boolean orderInFlight;
    private long notBeforeNanos = Long.MIN_VALUE;

    /**
     * Creates the state for an endpoint that this host has no claim on.
     *
     * @param checksFences whether the endpoint checks fencing tokens, as configured by the operators
     */
    public EndpointOrders(OrderSettings settings, boolean checksFences) {
        this.settings = settings;
        this.checksFences = checksFences;
    }

    /**
     * Returns the next step, which the caller has to carry out.
     *
     * @param held what the endpoint holds; empty if that is not known
     * @param desired what the endpoint is to hold
     * @param leaseUsable whether this host's lease is usable now
     */
    public OrderStep next(Optional<ModelHolding> held, ModelHolding desired, boolean leaseUsable, long nowNanos) {
        boolean upToDate = held.isEmpty() || held.get().equals(desired);
        if (upToDate || !leaseUsable || claimPending || orderInFlight) {
            return new OrderStep.Idle();
        }
        if (fence.isEmpty()) {
            claimPending = true;
            return new OrderStep.Claim();
        }
        if (notBeforeNanos != Long.MIN_VALUE && nowNanos - notBeforeNanos < 0) {
            return new OrderStep.Idle();
        }
        orderInFlight = true;
        return new OrderStep.Send(fence.get(), desired);
    }

    /**
     * Records the result of a claim.
     *
     * @param newFence the fencing token; empty if another host holds the endpoint or the answer is not known
     */
    public void claimed(Optional<Long> newFence, long nowNanos) {
        claimPending = false;
        fence = newFence;
        if (newFence.isPresent() && !checksFences) {
            long waitMillis = settings.leaseMillis() + settings.maxOrderMillis();
            notBeforeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        }
    }

    /** Records that the order was answered, or that its answer can no longer arrive. */
    public void orderEnded() {
        orderInFlight = false;
    }

    /** Records that the lease or the claim is lost; a new claim is needed before the next order. */
    public void claimLost() {
        fence = Optional.empty();
        notBeforeNanos = Long.MIN_VALUE;
    }

    /** Returns the fencing token of the current claim; empty if there is no claim. */
    public Optional<Long> fence() {
        return fence;
    }
}
