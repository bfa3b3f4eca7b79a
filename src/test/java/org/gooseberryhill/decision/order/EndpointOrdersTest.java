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
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final OrderSettings SETTINGS = new OrderSettings(5000, 2000);
    private static final ModelHolding OLD = new ModelHolding("m", "1", List.of());
    private static final ModelHolding NEW = new ModelHolding("m", "2", List.of());

    @Test
    void anEndpointThatHoldsWhatItShallGetsNoOrder() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);

        assertThat(orders.next(Optional.of(NEW), NEW, true, 0)).isInstanceOf(OrderStep.Rest.class);
    }

    @Test
    void anOrderCarriesTheClaimAsItsFenceAndOneIsOnItsWayAtATime() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Claim.class);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isEqualTo(new OrderStep.Send(17, NEW));
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Rest.class);
        orders.orderEnded();
        assertThat(orders.next(Optional.of(OLD), NEW, true, 0)).isInstanceOf(OrderStep.Send.class);
    }

    @Test
    void noOrderIsSentWhileTheLeaseIsInDoubt() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, true);
        orders.next(Optional.of(OLD), NEW, true, 0);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, false, 0)).isInstanceOf(OrderStep.Rest.class);
    }

    /**
     * The engine ignores fences. The old holder was paused with an order on its way; the new one must not order before
     * that order has arrived or never will.
     */
    @Test
    void withoutFencesTheNewHolderWaitsOutTheOldLeaseAndTheLongestOrder() {
        EndpointOrders orders = new EndpointOrders(SETTINGS, false);
        orders.next(Optional.of(OLD), NEW, true, 0);
        orders.claimed(Optional.of(17L), 0);

        assertThat(orders.next(Optional.of(OLD), NEW, true, 6900 * MILLI)).isInstanceOf(OrderStep.Rest.class);
        assertThat(orders.next(Optional.of(OLD), NEW, true, 7100 * MILLI)).isInstanceOf(OrderStep.Send.class);
    }

    /**
     * Holders follow one another; each may be paused after it decided to send, so that its order arrives up to the
     * longest time later. At an engine that ignores fences, orders must still arrive in the order of the claims.
     */
    @Property(seed = "20261203")
    void withoutFencesOrdersArriveInTheOrderOfTheClaims(@ForAll long seed) {
        Random random = new Random(seed);
        List<long[]> arrivals = new ArrayList<>();
        long claimedAt = 0;
        for (long fence = 1; fence <= 6; fence++) {
            EndpointOrders holder = new EndpointOrders(SETTINGS, false);
            holder.next(Optional.of(OLD), NEW, true, claimedAt);
            holder.claimed(Optional.of(fence), claimedAt);
            long leaseUntil = claimedAt + SETTINGS.leaseMillis() * MILLI + random.nextInt(20_000) * MILLI;
            for (long now = claimedAt; now < leaseUntil; now += 500 * MILLI) {
                if (holder.next(Optional.of(OLD), NEW, true, now) instanceof OrderStep.Send) {
                    arrivals.add(new long[] {now + random.nextInt(2000) * MILLI, fence});
                    holder.orderEnded();
                }
            }
            // The lease may be given back early or lapse; the next claim can come as soon as it is gone.
            claimedAt = leaseUntil;
        }
        arrivals.sort((one, other) -> Long.compare(one[0], other[0]));

        for (int i = 1; i < arrivals.size(); i++) {
            assertThat(arrivals.get(i)[1]).isGreaterThanOrEqualTo(arrivals.get(i - 1)[1]);
        }
    }
}
