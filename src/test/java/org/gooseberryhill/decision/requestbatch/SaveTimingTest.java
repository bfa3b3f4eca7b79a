package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SaveTimingTest {
    private static final OptionalLong FAR_FROM_DUE = OptionalLong.of(10_000);

    private final SaveTiming timing = new SaveTiming();
    private final OwnedBatch batch = BatchFixture.batch(3);

    @Test
    void nothingIsDueBeforeAnItemHasOutput() {
        batch.runStarted(firstStartableItem(), BatchFixture.VERSION);

        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(0))).isFalse();
        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(60_000))).isFalse();
    }

    @Test
    void resultsAreWrittenAfterADelay() {
        BatchFixture.run(batch, firstStartableItem(), 1);

        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(0))).isFalse();
        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(1400))).isFalse();
        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(1500))).isTrue();
    }

    /**
     * An item is done a second before its batch is due; the caller reads results at the due time, so they must not be
     * delayed.
     */
    @Test
    void resultsAreWrittenAtOnceNearTheDueTime() {
        BatchFixture.run(batch, firstStartableItem(), 1);

        assertThat(timing.isDue(batch, false, OptionalLong.of(2600), at(0))).isFalse();
        assertThat(timing.isDue(batch, false, OptionalLong.of(1000), at(0))).isTrue();
        assertThat(timing.isDue(batch, false, OptionalLong.of(-9000), at(0))).isFalse();
        assertThat(timing.isDue(batch, false, OptionalLong.empty(), at(0))).isFalse();
    }

    @Test
    void lastResultsOfABatchAreWrittenAtOnce() {
        for (int item = 0; item < 3; item++) {
            BatchFixture.run(batch, firstStartableItem(), 1);
        }

        assertThat(timing.isDue(batch, false, FAR_FROM_DUE, at(0))).isTrue();
    }

    @Test
    void stoppingHostWritesResultsAtOnceAndNoProgress() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 3);
        assertThat(timing.isDue(batch, true, FAR_FROM_DUE, at(0))).isFalse();
        assertThat(timing.isDue(batch, true, FAR_FROM_DUE, at(9000))).isFalse();

        batch.runEnded(item, RunEnd.COMPLETED, 1, 0);
        assertThat(timing.isDue(batch, true, FAR_FROM_DUE, at(9000))).isTrue();
    }

    /**
     * All hosts lose power while items run. The output that an item had generated two seconds earlier is saved by then,
     * however many events followed and however long the item runs.
     */
    @Test
    void progressIsWrittenEveryTwoSeconds() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        int saves = 0;
        for (int millis = 0; millis < 10_000; millis += 25) {
            BatchFixture.events(item, 1);
            if (timing.isDue(batch, false, FAR_FROM_DUE, at(millis))) {
                saves++;
                timing.resetDelays(batch.id());
                batch.progressSaved(batch.progressCount());
            }
        }

        assertThat(saves).isEqualTo(4);
    }

    private ItemProgress firstStartableItem() {
        return batch.startableItems(0).get(0);
    }

    private static long at(long millis) {
        return TimeUnit.SECONDS.toNanos(10) + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
