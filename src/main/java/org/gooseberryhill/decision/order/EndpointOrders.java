package org.gooseberryhill.decision.order;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides about the orders to one endpoint. Not thread-safe.
 *
 * <p>Invariants: an order is sent only while this host's lease is usable and its claim stands, one at a time. Failure
 * this is for: a host pauses with an order on its way, another takes over, and the old order arrives last. An endpoint
 * that checks fences refuses it. For one that does not, the new holder waits out the old lease and the longest order
 * before its first, so the old one has arrived or never will.
 */
public final class EndpointOrders {
    private final OrderSettings settings;
    private final boolean checksFences;
    private Optional<Long> fence = Optional.empty();
    private boolean claiming;
    private boolean ordering;
    private long notBeforeNanos = Long.MIN_VALUE;

    /** Orders to an endpoint of which the operators say whether it checks fences. */
    public EndpointOrders(OrderSettings settings, boolean checksFences) {
        this.settings = settings;
        this.checksFences = checksFences;
    }

    /** What to do, given what the endpoint holds and shall hold, and whether the lease is usable now. */
    public OrderStep next(Optional<ModelHolding> held, ModelHolding wanted, boolean leaseUsable, long nowNanos) {
        boolean settled = held.isEmpty() || held.get().equals(wanted);
        if (settled || !leaseUsable || claiming || ordering) {
            return new OrderStep.Rest();
        }
        if (fence.isEmpty()) {
            claiming = true;
            return new OrderStep.Claim();
        }
        if (notBeforeNanos != Long.MIN_VALUE && nowNanos - notBeforeNanos < 0) {
            return new OrderStep.Rest();
        }
        ordering = true;
        return new OrderStep.Send(fence.get(), wanted);
    }

    /** The claim was answered; empty if another host holds the endpoint or the answer is not known. */
    public void claimed(Optional<Long> newFence, long nowNanos) {
        claiming = false;
        fence = newFence;
        if (newFence.isPresent() && !checksFences) {
            long waitMillis = settings.leaseMillis() + settings.longestOrderMillis();
            notBeforeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        }
    }

    /** The order was answered, or will not be any more. */
    public void orderEnded() {
        ordering = false;
    }

    /** The lease or the claim is gone: a new claim is needed before the next order. */
    public void claimLost() {
        fence = Optional.empty();
        notBeforeNanos = Long.MIN_VALUE;
    }

    /** The fence of the standing claim. */
    public Optional<Long> fence() {
        return fence;
    }
}
