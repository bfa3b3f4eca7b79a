package org.gooseberryhill.decision.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.gooseberryhill.decision.coordination.EarliestDueOrder;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.gooseberryhill.decision.coordination.NoReserve;
import org.gooseberryhill.decision.coordination.SlotReserve;
import org.junit.jupiter.api.Test;

/**
 * Checks what the assignment of slots by coordinators is worth on a full fleet, whose load peaks need nearly all slots and
 * whose troughs leave most of them to batches. Each decision is compared with its baseline under the same arrivals.
 */
class FullFleetReplayTest {
    private static final int SEEDS = 3;
    private static final double SECONDS = 30;

    /** Guards against hosts that start, queue and stop work by counts that are out of date as soon as they arrive. */
    @Test
    void coordinatorsKeepNearlyAllStreamsAndItemsOnTimeWithoutARejectedArrival() {
        ReplayPolicies uncoordinated =
                new ReplayPolicies(ReplayPolicies.PRODUCT.requestPolicies(), reserve(), order(), false);

        double alone =
                mean(ReplaySize.LARGE, uncoordinated, replay -> replay.result().onTimeShare());
        double coordinated = mean(
                ReplaySize.LARGE,
                ReplayPolicies.PRODUCT,
                replay -> replay.result().onTimeShare());
        System.out.printf(
                "full fleet: each host for itself %.3f, coordinated %.3f of the streams on time%n", alone, coordinated);

        assertThat(coordinated).isGreaterThan(0.98).isGreaterThan(alone + 0.1);
        assertThat(mean(
                        ReplaySize.LARGE,
                        ReplayPolicies.PRODUCT,
                        replay -> replay.result().itemsOnTimeShare()))
                .isGreaterThan(0.99);
        assertThat(mean(ReplaySize.LARGE, ReplayPolicies.PRODUCT, replay -> replay.counts().rejectedArrivals))
                .isZero();
        assertThat(mean(
                        ReplaySize.LARGE,
                        ReplayPolicies.PRODUCT,
                        replay -> replay.counts().busyShare()))
                .isGreaterThan(0.85);
    }

    /** Guards against a cost that grows with the number of hosts: every host used to tell every other each change. */
    @Test
    void aRequestOrItemTakesAFewMessagesWhateverTheNumberOfHosts() {
        double small = mean(ReplaySize.SMALL, ReplayPolicies.PRODUCT, FullFleetReplayTest::messagesPerArrival);
        double large = mean(ReplaySize.LARGE, ReplayPolicies.PRODUCT, FullFleetReplayTest::messagesPerArrival);
        System.out.printf("messages for each arrival at an endpoint: 8 hosts %.2f, 80 hosts %.2f%n", small, large);

        assertThat(large).isLessThan(10);
    }

    /** Guards against items that start in the few slots between two online requests and yield within a second. */
    @Test
    void slotsLeftFreeForFluctuationsSaveShortRuns() {
        ReplayPolicies noReserve =
                new ReplayPolicies(ReplayPolicies.PRODUCT.requestPolicies(), new NoReserve(), order(), true);

        double without = mean(ReplaySize.LARGE, noReserve, FullFleetReplayTest::shortRunShare);
        double with = mean(ReplaySize.LARGE, ReplayPolicies.PRODUCT, FullFleetReplayTest::shortRunShare);
        System.out.printf("runs that yield within a second: no reserve %.3f, reserve %.3f%n", without, with);

        assertThat(with).isLessThan(without / 2);
    }

    /**
     * Guards against slots that go to items which become late all the same: far more batches are accepted than the slots can
     * complete in time.
     */
    @Test
    void withMoreBatchesThanSlotsCanCompleteItemsThatCanStillBeInTimeGoFirst() {
        ReplayPolicies earliestDue =
                new ReplayPolicies(ReplayPolicies.PRODUCT.requestPolicies(), reserve(), new EarliestDueOrder(), true);

        double earliestDueFirst = mean(
                ReplaySize.OVERLOADED, earliestDue, replay -> replay.result().itemsOnTimeShare());
        double feasibleFirst = mean(
                ReplaySize.OVERLOADED,
                ReplayPolicies.PRODUCT,
                replay -> replay.result().itemsOnTimeShare());
        System.out.printf(
                "overload: earliest due first %.3f, product %.3f of the items on time%n",
                earliestDueFirst, feasibleFirst);

        assertThat(feasibleFirst).isGreaterThan(earliestDueFirst + 0.15);
        assertThat(mean(
                        ReplaySize.OVERLOADED,
                        ReplayPolicies.PRODUCT,
                        replay -> replay.result().onTimeShare()))
                .isGreaterThan(0.99);
    }

    private static SlotReserve reserve() {
        return ReplayPolicies.PRODUCT.reserve();
    }

    private static ItemOrder order() {
        return ReplayPolicies.PRODUCT.order();
    }

    private static double messagesPerArrival(ServingReplay replay) {
        return (double) replay.counts().messages / replay.counts().arrivals;
    }

    private static double shortRunShare(ServingReplay replay) {
        return (double) replay.counts().shortRuns / replay.counts().itemRuns;
    }

    private static double mean(ReplaySize size, ReplayPolicies policies, ToDoubleFunction<ServingReplay> figure) {
        return IntStream.rangeClosed(1, SEEDS)
                .mapToDouble(seed -> {
                    ServingReplay replay = new ServingReplay(size, policies, seed);
                    replay.load(SECONDS, 1);
                    replay.finish();
                    return figure.applyAsDouble(replay);
                })
                .average()
                .orElseThrow();
    }
}
