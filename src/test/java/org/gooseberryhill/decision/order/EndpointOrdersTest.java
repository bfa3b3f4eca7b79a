package org.gooseberryhill.decision.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EndpointOrdersTest {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final OrderSettings SETTINGS = new OrderSettings(5000, 2000);
    private static final ModelHolding OLD = new ModelHolding("m", "1", List.of());
    private static final ModelHolding NEW = new ModelHolding("m", "2", List.of());

    @Test
    void anEndpointThatHoldsTheWantedModelGetsNoOrder() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);

        assertThat(orders.next(Optional.of(NEW), NEW, true, 0)).isInstanceOf(OrderStep.Idle.class);
    }

    @Test
    void anOrderCarriesTheClaimAsItsFenceAndOnlyOneIsInFlight() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Claim.class);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isEqualTo(new OrderStep.Send(17, NEW));
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Idle.class);
        orders.orderEnded();
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Send.class);
    }

    @Test
    void noOrderIsSentWhileTheLeaseIsNotUsable() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);
        orders.next(Optional.of(OLD), NEW, true, 0);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, false, 0)).isInstanceOf(OrderStep.Idle.class);
    }

    /**
     * The endpoint ignores fencing tokens and the old holder was paused with an order on its way. The new holder must
     * not send an order until the old one has arrived or can no longer arrive.
     */
    @Test
    void withoutFencesTheNewHolderWaitsOutTheOldLeaseAndTheLongestOrder() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, false);
        orders.next(Optional.of(OLD), NEW, true, 0);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, true, 6900 * NANOS_PER_MILLI))
                .isInstanceOf(OrderStep.Idle.class);
        assertThat(orders.next(Optional.of(OLD), NEW, true, 7100 * NANOS_PER_MILLI))
                .isInstanceOf(OrderStep.Send.class);
    }

    /**
     * Hosts hold the claim in turn. Each may be paused after it has decided to send, so that its order arrives up to
     * the longest duration of an order later. At an endpoint that ignores fencing tokens, orders must still arrive in
     * the sequence of the claims.
     */
    @Property(seed = "20261203")
    void withoutFencesOrdersArriveInTheSequenceOfTheClaims(@ForAll long seed) {
        Random random = new Random(seed);
        List<long[]> arrivals = new ArrayList<>();
        long claimedNanos = 0;
        for (long fence = 1; fence <= 6; fence++) {
            EndpointOrders holder = new EndpointOrders(SETTINGS, false);
            holder.next(Optional.of(OLD), NEW, true, claimedNanos);
            holder.claimed(Optional.of(fence), claimedNanos);
            long leaseEndNanos =
                    claimedNanos + SETTINGS.leaseMillis() * NANOS_PER_MILLI + random.nextInt(20_000) * NANOS_PER_MILLI;
            for (long nowNanos = claimedNanos; nowNanos < leaseEndNanos; nowNanos += 500 * NANOS_PER_MILLI) {
                if (holder.next(Optional.of(OLD), NEW, true, nowNanos) instanceof OrderStep.Send) {
                    arrivals.add(new long[] {nowNanos + random.nextInt(2000) * NANOS_PER_MILLI, fence});
                    holder.orderEnded();
                }
            }
            // The lease may be released early or expire; the next claim can succeed as soon as the lease has ended.
            claimedNanos = leaseEndNanos;
        }
        arrivals.sort((one, other) -> Long.compare(one[0], other[0]));

        for (int i = 1; i < arrivals.size(); i++) {
            assertThat(arrivals.get(i)[1]).isGreaterThanOrEqualTo(arrivals.get(i - 1)[1]);
        }
    }
}
