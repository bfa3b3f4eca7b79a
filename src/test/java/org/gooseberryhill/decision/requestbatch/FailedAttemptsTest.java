package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FailedAttemptsTest {
    private static final int MAX_ATTEMPTS = 3;
    private static final int NO_LIMIT = Integer.MAX_VALUE;
    private static final long NOW_NANOS = 1;

    private final OwnedBatch batch = BatchFixture.batch(3);

    /** Guards against an item that fails at each run and gets all its attempts again from each new owner. */
    @Test
    void failedAttemptsAtEarlierOwnersCount() {
        int owners = 0;
        List<ItemCheckpoint> saved = List.of();
        ItemProgress item = batch.startableItems(NOW_NANOS).get(0);
        while (!item.isGivenUp() && owners < MAX_ATTEMPTS) {
            OwnedBatch owned = BatchFixture.batch(3);
            owned.restore(saved);
            item = owned.startableItems(NOW_NANOS).get(0);
            owned.runStarted(item, BatchFixture.VERSION);
            owned.runEnded(item, RunEnd.ERROR_ANSWER, MAX_ATTEMPTS, NOW_NANOS);
            assertThat(owned.hasUnsavedProgress()).isTrue();
            saved = owned.checkpoints(NO_LIMIT);
            owners++;
        }

        assertThat(item.isGivenUp()).isTrue();
        assertThat(item.errorAnswerCount()).isEqualTo(MAX_ATTEMPTS);
    }

    /** Guards against a further run at each owner of an item that was given up where the owner was lost before it committed this. */
    @Test
    void anItemThatWasGivenUpIsNotRunAgain() {
        batch.restore(List.of(ItemCheckpoint.withoutOutput("i0", MAX_ATTEMPTS)));

        batch.giveUpExhausted(MAX_ATTEMPTS);

        assertThat(batch.startableItems(NOW_NANOS))
                .extracting(startable -> startable.item().id())
                .containsExactly("i1", "i2");
        assertThat(batch.beginCommit(NO_LIMIT)).extracting(ItemResult::state).containsExactly(ItemState.GIVEN_UP);
    }

    /** Guards against attempts that are forgotten because the item's output does not fit beside them. */
    @Test
    void failedAttemptsAreSavedWithoutOutputThatDoesNotFit() {
        ItemProgress item = batch.startableItems(NOW_NANOS).get(0);
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 100);
        batch.runEnded(item, RunEnd.ERROR_ANSWER, MAX_ATTEMPTS, NOW_NANOS);
        int limitBytes = batch.checkpoints(NO_LIMIT).get(0).encodedBytes() - 1;

        assertThat(batch.checkpoints(limitBytes)).containsExactly(new ItemCheckpoint("i0", 0, "", Optional.empty(), 1));
    }
}
