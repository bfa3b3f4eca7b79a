package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.gooseberryhill.decision.coordination.EarliestDueOrder;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.junit.jupiter.api.Test;

/**
 * Tests the share of items done in time under the load patterns that item scheduling is designed for, against
 * baselines.
 */
class BatchLoadReplayTest {
    private static final double BATCHES_PER_SECOND = 0.72;
    private static final double ONLINE_SLOTS = 45;
    private static final int SEEDS = 5;

    @Test
    void nearlyAllItemsAreDoneInTimeUnderNormalLoad() {
        double share = mean(FeasibleFirstOrder::new, replay -> replay.load(60_000, BATCHES_PER_SECOND, ONLINE_SLOTS));

        assertThat(share).isGreaterThan(0.99);
    }

    /**
     * All hosts lose power for some seconds while they still process a burst of batches. The interrupted items have
     * little time left, and other items wait for their slots; saved progress keeps more of both on time.
     */
    @Test
    void savedProgressKeepsMoreItemsOnTimeAfterALossOfAllHosts() {
        double restarted = mean(FeasibleFirstOrder::new, replay -> lossOfAllHosts(replay, false));
        double saved = mean(FeasibleFirstOrder::new, replay -> lossOfAllHosts(replay, true));
        System.out.printf("loss of all hosts: begun anew %.3f, saved %.3f on time%n", restarted, saved);

        assertThat(saved).isGreaterThan(restarted + 0.02);
    }

    /** A burst exceeds what the slots can do in time: items that can no longer be in time must not make others late. */
    @Test
    void feasibleFirstOrderKeepsMoreItemsOnTimeInABurst() {
        double earliestDueFirst = mean(EarliestDueOrder::new, BatchLoadReplayTest::burst);
        double feasibleFirst = mean(FeasibleFirstOrder::new, BatchLoadReplayTest::burst);
        System.out.printf("rush: by submission %.3f, feasible first %.3f on time%n", earliestDueFirst, feasibleFirst);

        assertThat(feasibleFirst).isGreaterThan(earliestDueFirst + 0.02);
    }

    private static void lossOfAllHosts(BatchLoadReplay replay, boolean saved) {
        replay.load(10_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
        replay.load(3_000, 4 * BATCHES_PER_SECOND, ONLINE_SLOTS);
        replay.load(5_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
        replay.outage(3_000, saved);
        replay.load(30_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
    }

    private static void burst(BatchLoadReplay replay) {
        replay.load(10_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
        replay.load(3_000, 6 * BATCHES_PER_SECOND, ONLINE_SLOTS);
        replay.load(40_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
    }

    private static double mean(Supplier<ItemOrder> order, Scenario scenario) {
        return LongStream.range(0, SEEDS)
                .mapToDouble(seed -> {
                    BatchLoadReplay replay = new BatchLoadReplay(order.get(), seed);
                    scenario.run(replay);
                    replay.finish();
                    assertThat(replay.doneItems()).isEqualTo(replay.submittedItems());
                    return replay.onTimeShare();
                })
                .average()
                .orElseThrow();
    }

    @FunctionalInterface
    private interface Scenario {
        void run(BatchLoadReplay replay);
    }
}
