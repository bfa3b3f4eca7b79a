package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.ServiceVersion;
import org.junit.jupiter.api.Test;

class OwnedBatchTest {
    private static final ServiceVersion OTHER_VERSION = new ServiceVersion("s", "v2");

    private static final int MAX_ATTEMPTS = 3;
    private static final int NO_LIMIT = 1_000_000;

    private final OwnedBatch batch = BatchFixture.batch(3);
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);

    @Test
    void resultIsVisibleOnlyAfterItsCommitAndKeepsItsPosition() {
        BatchFixture.run(batch, firstStartableItem(), 2);
        assertThat(batch.page(0, NO_LIMIT).results()).isEmpty();

        commit();
        BatchFixture.run(batch, firstStartableItem(), 1);
        commit();

        assertThat(batch.page(0, NO_LIMIT).results()).extracting(ItemResult::id).containsExactly("i0", "i1");
        assertThat(batch.page(1, NO_LIMIT).results()).extracting(ItemResult::id).containsExactly("i1");
        assertThat(batch.page(0, NO_LIMIT).total()).isEqualTo(3);
    }

    /**
     * A run is interrupted after its second event: the next run resumes after that event, and the text contains each
     * event once.
     */
    @Test
    void cutRunIsResumedAfterItsLastEvent() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 2);
        batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);
        assertThat(item.lastEventId()).contains(2L);

        batch.runStarted(item, BatchFixture.VERSION);
        item.appendEvent(Optional.of(2L), "w2");
        item.appendEvent(Optional.of(3L), "w3");
        batch.runEnded(item, RunEnd.COMPLETED, MAX_ATTEMPTS, nowNanos);
        commit();

        assertThat(batch.page(0, NO_LIMIT).results().get(0).text()).isEqualTo("w1\nw2\nw3");
    }

    /** Guards against a result that lacks events because an endpoint was lost between two of them. */
    @Test
    void anUnmarkedEndIsConfirmedByASecondRunThatEndsAfterTheSameEvent() {
        ItemProgress item = firstStartableItem();
        endUnmarked(item, 2);
        assertThat(batch.startableItems(nowNanos)).contains(item);
        endUnmarked(item, 1);
        assertThat(item.isDone()).isFalse();

        endUnmarked(item, 0);
        commit();

        assertThat(batch.page(0, NO_LIMIT).results().get(0).text()).isEqualTo("w1\nw2\nw3");
    }

    @Test
    void aMarkedEndNeedsNoConfirmationAfterAnUnmarkedOne() {
        ItemProgress item = firstStartableItem();
        endUnmarked(item, 2);

        BatchFixture.run(batch, item, 0);

        assertThat(item.isDone()).isTrue();
    }

    /** Guards against an empty result of an item whose endpoints are lost before its first event. */
    @Test
    void unmarkedEndsBeforeTheFirstEventAreNoResult() {
        ItemProgress item = firstStartableItem();
        for (int i = 0; i < 5; i++) {
            endUnmarked(item, 0);
        }

        assertThat(item.result()).isEmpty();
        assertThat(batch.startableItems(nowNanos)).doesNotContain(item);
    }

    /**
     * Output without event ids can't be resumed: that of an interrupted run is discarded, or it would be in the result
     * twice.
     */
    @Test
    void cutRunWithoutEventIdsStartsFromTheBeginning() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        item.appendEvent(Optional.empty(), "a");
        batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);

        batch.runStarted(item, BatchFixture.VERSION);
        item.appendEvent(Optional.empty(), "a");
        batch.runEnded(item, RunEnd.COMPLETED, MAX_ATTEMPTS, nowNanos);
        commit();

        assertThat(batch.page(0, NO_LIMIT).results().get(0).text()).isEqualTo("a");
    }

    @Test
    void itemIsGivenUpAfterAsManyErrorAnswersAsItsRouteAllowsAndNotBefore() {
        ItemProgress item = firstStartableItem();
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            assertThat(item.result()).isEmpty();
            batch.runStarted(item, BatchFixture.VERSION);
            batch.runEnded(item, RunEnd.ERROR_ANSWER, MAX_ATTEMPTS, nowNanos);
        }
        assertThat(item.result().map(ItemResult::state)).contains(ItemState.GIVEN_UP);
    }

    @Test
    void rejectedItemIsGivenUpAtOnce() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        batch.runEnded(item, RunEnd.REJECTED, MAX_ATTEMPTS, nowNanos);

        assertThat(item.result().map(ItemResult::state)).contains(ItemState.GIVEN_UP);
    }

    /**
     * Refusals by full endpoints, interrupted runs and yields do not count as attempts: an item that could not run must
     * not be given up for them.
     */
    @Test
    void itemIsNeverGivenUpForCutsRefusalsOrYields() {
        ItemProgress item = firstStartableItem();
        for (int i = 0; i < 50; i++) {
            batch.runStarted(item, BatchFixture.VERSION);
            batch.runEnded(
                    item, List.of(RunEnd.CUT, RunEnd.NOT_RUN, RunEnd.YIELDED).get(i % 3), MAX_ATTEMPTS, nowNanos);
        }
        assertThat(item.result()).isEmpty();
    }

    @Test
    void noItemStartsOnceTheCallerEndsTheBatch() {
        batch.markEnding();

        assertThat(batch.startableItems(nowNanos)).isEmpty();
    }

    /** A write was not answered, and more results were added meanwhile: its repetition must have the same content. */
    @Test
    void pendingCommitDoesNotChangeWhenMoreItemsComplete() {
        BatchFixture.run(batch, firstStartableItem(), 1);
        List<ItemResult> pendingCommit = batch.beginCommit(NO_LIMIT);
        BatchFixture.run(batch, firstStartableItem(), 1);

        assertThat(batch.beginCommit(NO_LIMIT)).isEqualTo(pendingCommit);
    }

    @Test
    void commitIsLimitedInBytesButHasAtLeastOneResult() {
        BatchFixture.run(batch, firstStartableItem(), 2);
        BatchFixture.run(batch, firstStartableItem(), 2);

        assertThat(batch.beginCommit(1)).hasSize(1);
    }

    /** Guards against a commit that the store refuses as invalid and that is sent again unchanged. */
    @Test
    void aRejectedCommitIsDividedUntilItSucceeds() {
        for (int i = 0; i < 3; i++) {
            BatchFixture.run(batch, firstStartableItem(), 1);
        }
        assertThat(batch.beginCommit(NO_LIMIT)).hasSize(3);

        assertThat(batch.commitRejected()).isTrue();
        assertThat(batch.beginCommit(NO_LIMIT)).hasSize(1);
        assertThat(batch.commitRejected()).isFalse();
        commit();
        assertThat(batch.beginCommit(NO_LIMIT)).hasSize(2);
    }

    /** Guards against progress that is never stored because that of all items together is too large. */
    @Test
    void checkpointsAreLimitedInBytes() {
        for (ItemProgress item : batch.startableItems(nowNanos)) {
            batch.runStarted(item, BatchFixture.VERSION);
            item.appendEvent(Optional.of(1L), "\u0639".repeat(1000));
        }

        assertThat(batch.checkpoints(NO_LIMIT)).hasSize(3);
        assertThat(batch.checkpoints(5000)).hasSize(2);
        assertThat(batch.checkpoints(1000)).isEmpty();
    }

    @Test
    void nextOwnerResumesItemsFromTheirCheckpoints() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 4);
        batch.runEnded(item, RunEnd.YIELDED, MAX_ATTEMPTS, nowNanos);

        OwnedBatch next = BatchFixture.batch(3);
        next.restore(batch.checkpoints(NO_LIMIT));

        ItemProgress restored = next.startableItems(nowNanos).get(0);
        assertThat(restored.item().id()).isEqualTo(item.item().id());
        assertThat(restored.lastEventId()).contains(4L);
    }

    @Test
    void outputIsUnsavedProgressUntilItIsSaved() {
        assertThat(batch.hasUnsavedProgress()).isFalse();
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 2);
        assertThat(batch.hasUnsavedProgress()).isTrue();

        long written = batch.progressCount();
        BatchFixture.events(item, 1);
        batch.progressSaved(written);
        assertThat(batch.hasUnsavedProgress()).isTrue();

        batch.progressSaved(batch.progressCount());
        assertThat(batch.hasUnsavedProgress()).isFalse();
    }

    /**
     * Progress may come both from the store, seconds old, and from the last owner as it stops: the later one counts.
     */
    @Test
    void latestOfSeveralCheckpointsOfAnItemIsUsed() {
        OwnedBatch next = BatchFixture.batch(3);
        next.restore(List.of(new ItemCheckpoint("i0", 2, "w1\nw2", Optional.of(BatchFixture.VERSION))));
        next.restore(List.of(new ItemCheckpoint("i0", 3, "w1\nw2\nw3", Optional.of(BatchFixture.VERSION))));
        next.restore(List.of(new ItemCheckpoint("i0", 1, "w1", Optional.of(BatchFixture.VERSION))));

        assertThat(next.startableItems(nowNanos).get(0).lastEventId()).contains(3L);
        assertThat(next.checkpoints(NO_LIMIT).get(0).text()).isEqualTo("w1\nw2\nw3");
    }

    /** Guards against a text that joins what two versions generated. */
    @Test
    void aRunAtAnotherVersionStartsFromTheBeginning() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 2);
        batch.runEnded(item, RunEnd.YIELDED, 1, nowNanos);
        batch.runStarted(item, BatchFixture.VERSION);
        assertThat(item.lastEventId()).contains(2L);
        batch.runEnded(item, RunEnd.YIELDED, 1, nowNanos);

        batch.runStarted(item, OTHER_VERSION);

        assertThat(item.lastEventId()).isEmpty();
        assertThat(item.characterCount()).isZero();
    }

    /** Guards against an end that two versions confirm, whose streams do not end at the same event. */
    @Test
    void anUnmarkedEndIsNotConfirmedByAnotherVersion() {
        ItemProgress item = firstStartableItem();
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 2);
        batch.runEnded(item, RunEnd.UNCONFIRMED, 1, nowNanos);
        batch.runStarted(item, OTHER_VERSION);
        BatchFixture.events(item, 2);

        batch.runEnded(item, RunEnd.UNCONFIRMED, 1, nowNanos);

        assertThat(item.isDone()).isFalse();
    }

    /** Guards against output of an unknown version, stored by an earlier version of the system. */
    @Test
    void aCheckpointWithoutAVersionIsNotContinued() {
        OwnedBatch next = BatchFixture.batch(3);
        next.restore(List.of(new ItemCheckpoint("i0", 2, "w1\nw2", Optional.empty())));

        assertThat(next.startableItems(nowNanos).get(0).lastEventId()).isEmpty();
    }

    /** Guards against a checkpoint that arrives while the item runs at another version. */
    @Test
    void aCheckpointOfAnotherVersionDoesNotReplaceTheOutputOfARun() {
        OwnedBatch next = BatchFixture.batch(3);
        ItemProgress item = next.startableItems(nowNanos).get(0);
        next.runStarted(item, OTHER_VERSION);
        BatchFixture.events(item, 1);

        next.restore(List.of(new ItemCheckpoint("i0", 2, "w1\nw2", Optional.of(BatchFixture.VERSION))));

        assertThat(item.lastEventId()).contains(1L);
        assertThat(item.generatedBy()).contains(OTHER_VERSION);
    }

    @Test
    void pageHasAtLeastOneResultHoweverLargeItIs() {
        BatchFixture.run(batch, firstStartableItem(), 500);
        commit();

        assertThat(batch.page(0, 10).results()).hasSize(1);
    }

    @Test
    void itemIsAvailableUntilItsResultIsCommitted() {
        assertThat(batch.uncommittedItem("i0")).isPresent();
        BatchFixture.run(batch, firstStartableItem(), 1);
        assertThat(batch.uncommittedItem("i0")).isPresent();
        commit();
        assertThat(batch.uncommittedItem("i0")).isEmpty();
    }

    @Test
    void aBatchWithoutARecordIsBoundToOneWithoutResults() {
        OwnedBatch accepted = acceptedWithoutRecord();

        assertThat(accepted.bindRecord(BatchFixture.record(3, "a", "1"), 7)).isTrue();

        assertThat(accepted.recordRevision()).isEqualTo(7);
    }

    /** Guards against positions that are assigned again, by a copy of the batch without the results that its record lists. */
    @Test
    void aBatchWithoutARecordIsNotBoundToOneWithResultsOfAnotherCopy() {
        OwnedBatch accepted = acceptedWithoutRecord();

        assertThat(accepted.bindRecord(BatchFixture.record(3, "a", "1").withChunk(2), 7))
                .isFalse();

        assertThat(accepted.isRecorded()).isFalse();
        assertThat(accepted.record().listed()).isZero();
    }

    /** Guards against results that are committed again, since a late answer to the creation resets the record. */
    @Test
    void theRecordOfABatchIsNotReplacedByAnEarlierOne() {
        BatchFixture.run(batch, firstStartableItem(), 1);
        commit();
        long revision = batch.recordRevision();

        assertThat(batch.bindRecord(BatchFixture.record(3, "a", "1"), revision - 1))
                .isFalse();

        assertThat(batch.record().listed()).isEqualTo(1);
        assertThat(batch.recordRevision()).isEqualTo(revision);
    }

    @Test
    void aBatchIsNotLoadedWithoutTheResultsThatItsRecordLists() {
        BatchRecord record = BatchFixture.record(3, "a", "1").withChunk(2);

        assertThatThrownBy(() -> new OwnedBatch("batch", record, 5, BatchFixture.items(3), List.of()))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("lists 2 results");
    }

    private static OwnedBatch acceptedWithoutRecord() {
        return new OwnedBatch("batch", BatchFixture.record(3, "a", "1"), 0, BatchFixture.items(3), List.of());
    }

    /** Runs an item at an endpoint that closes its connection after a number of further events. */
    private void endUnmarked(ItemProgress item, int events) {
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, events);
        batch.runEnded(item, RunEnd.UNCONFIRMED, MAX_ATTEMPTS, nowNanos);
    }

    private ItemProgress firstStartableItem() {
        return batch.startableItems(nowNanos).get(0);
    }

    private void commit() {
        int results = batch.beginCommit(NO_LIMIT).size();
        batch.commitSucceeded(batch.record().withChunk(results), batch.recordRevision() + 1);
    }
}
