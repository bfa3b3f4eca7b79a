package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.gooseberryhill.decision.coordination.EarliestDueOrder;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.coordination.ItemOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the share of items done in time under the load patterns that item scheduling is designed for, against
 * baselines.
 */
class BatchLoadReplayTest {
    private static final double BATCHES_PER_SECOND = 0.72;
    private static final double ONLINE_SLOTS = 45;
    private static final int SEEDS = 5;
    private static final double ROUNDING = 1e-9;

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

    /**
     * Endpoints of two and three software versions serve side by side. Items that yield keep their output if a slot of their version
     * is soon free again; those that never wait lose
     * more, and those that wait for ever may not be done.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void itemsThatWaitForAsLongAsTheirOutputTookLoseLittleWhileSeveralVersionsServe(int versions) {
        Outcome oneVersion = outcome(new RestartAfterEqualWait(), 1);
        Outcome waiting = outcome(new RestartAfterEqualWait(), versions);
        Outcome atOnce = outcome(new RestartAtOnce(), versions);
        Outcome never = outcome(new RestartNever(), versions);
        System.out.printf(
                "%d versions: one version %s, equal wait %s, at once %s, never %s%n",
                versions, oneVersion, waiting, atOnce, never);

        assertThat(waiting.doneShare).isEqualTo(1, within(ROUNDING));
        assertThat(waiting.onTimeShare).isGreaterThan(oneVersion.onTimeShare - 0.02);
        assertThat(waiting.generatedShare).isLessThan(atOnce.generatedShare);
    }

    private static Outcome outcome(RestartPolicy policy, int versions) {
        double doneShare = 0;
        double onTimeShare = 0;
        double generatedShare = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            BatchLoadReplay replay = new BatchLoadReplay(new FeasibleFirstOrder(), policy, versions, seed);
            replay.load(60_000, BATCHES_PER_SECOND, ONLINE_SLOTS);
            replay.finish();
            doneShare += (double) replay.doneItems() / replay.submittedItems() / SEEDS;
            onTimeShare += replay.onTimeShare() / SEEDS;
            generatedShare += replay.generatedShare() / SEEDS;
        }
        return new Outcome(doneShare, onTimeShare, generatedShare);
    }

    /** Means over the seeds: items done, items done in time, and events generated for each event needed. */
    private record Outcome(double doneShare, double onTimeShare, double generatedShare) {
        @Override
        public String toString() {
            return String.format("%.3f done, %.3f on time, %.3f generated", doneShare, onTimeShare, generatedShare);
        }
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
