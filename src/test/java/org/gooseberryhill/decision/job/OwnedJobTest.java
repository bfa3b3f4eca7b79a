package org.gooseberryhill.decision.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class OwnedJobTest {
    private static final HostId STEWARD = new HostId("steward");
    private static final long FENCE = 9;

    private final OwnedJob job = job("caller", 2, 1000);
    private long nowNanos;

    @Test
    void aChunkIsReturnedForCommitWhenItsLastItemCompletes() {
        WorkItem first = handOutItem();
        WorkItem second = handOutItem();

        assertThat(report(first, ItemEnd.COMPLETED)).isEmpty();
        ChunkResult result = report(second, ItemEnd.COMPLETED).orElseThrow();

        assertThat(result.lines()).hasSize(2);
        assertThat(result.failed()).isZero();
    }

    /** The endpoint rejects one item permanently: that is the item's completion, and the rest of the job continues. */
    @Test
    void aRejectedItemCompletesAsFailed() {
        report(handOutItem(), ItemEnd.REJECTED);

        ChunkResult result = report(handOutItem(), ItemEnd.COMPLETED).orElseThrow();

        assertThat(result.failed()).isEqualTo(1);
        assertThat(result.lines().get(0)).contains("\"status\":\"failed\"").contains("rejected");
    }

    @Test
    void anItemFailsPermanentlyAtItsThirdCrash() {
        report(handOutItem(), ItemEnd.COMPLETED);
        for (int crash = 1; crash <= 2; crash++) {
            assertThat(report(handOutItem(), ItemEnd.CRASHED)).isEmpty();
            advanceOneSecond();
        }
        WorkItem last = handOutItem();

        assertThat(last.suspect()).isTrue();
        assertThat(report(last, ItemEnd.CRASHED).orElseThrow().lines().get(1)).contains("crashed-endpoints");
    }

    /**
     * An item yields to online requests repeatedly: it continues from the partial text, and the runs do not count as
     * failed attempts.
     */
    @Test
    void aYieldedItemContinuesFromItsPartialText() {
        WorkItem item = handOutItem();
        for (int i = 0; i < 10; i++) {
            job.report(new ItemOutcome(0, FENCE, item.handout(), ItemEnd.YIELDED, "so far", 2), nowNanos);
            item = handOutItem();
        }

        assertThat(item.partial()).isEqualTo("so far");
        assertThat(item.partialTokens()).isEqualTo(2);
        assertThat(item.suspect()).isFalse();
    }

    /**
     * An endpoint cannot continue the item from its partial text: the next attempt starts from scratch instead of
     * failing in the same way.
     */
    @Test
    void aFailedItemStartsFromScratch() {
        WorkItem item = handOutItem();
        job.report(new ItemOutcome(0, FENCE, item.handout(), ItemEnd.YIELDED, "so far", 2), nowNanos);
        report(handOutItem(), ItemEnd.FAILED);
        advanceOneSecond();

        assertThat(handOutItem().partial()).isEmpty();
    }

    /** A steward was considered lost and its item runs elsewhere; the steward's late report must have no effect. */
    @Test
    void aReportOfAnEarlierHandOutHasNoEffect() {
        WorkItem firstHandOut = handOutItem();
        job.reclaimFromSteward(STEWARD);
        WorkItem secondHandOut = handOutItem();

        assertThat(secondHandOut.index()).isEqualTo(firstHandOut.index());
        report(firstHandOut, ItemEnd.REJECTED);
        report(secondHandOut, ItemEnd.COMPLETED);
        assertThat(report(handOutItem(), ItemEnd.COMPLETED).orElseThrow().failed())
                .isZero();
    }

    /** The answer that carried an item was lost: the steward does not hold the item, so it must wait again. */
    @Test
    void anItemThatItsStewardDoesNotHaveWaitsAgain() {
        WorkItem lost = handOutItem();
        WorkItem held = handOutItem();
        advanceOneSecond();

        job.reclaimMissing(STEWARD, Set.of(held.handout()), 2000, nowNanos);
        assertThat(job.runningItems()).isEqualTo(2);
        advanceOneSecond();
        advanceOneSecond();
        job.reclaimMissing(STEWARD, Set.of(held.handout()), 2000, nowNanos);

        assertThat(job.runningItems()).isEqualTo(1);
        assertThat(handOutItem().index()).isEqualTo(lost.index());
    }

    /**
     * The host lost its claim and regained it. The numbers of hand-outs start again from the beginning, so a report
     * under the earlier claim must not match one of them.
     */
    @Test
    void aReportUnderAnEarlierClaimHasNoEffect() {
        WorkItem item = handOutItem();

        ItemOutcome old = new ItemOutcome(item.index(), FENCE - 1, item.handout(), ItemEnd.REJECTED, "", 0);

        assertThat(job.report(old, nowNanos)).isEmpty();
        assertThat(job.runningItems()).isEqualTo(1);
    }

    @Test
    void afterAStopNothingIsHandedOutAndReportsHaveNoEffect() {
        WorkItem item = handOutItem();
        job.stop();

        assertThat(job.handOutNext(STEWARD, nowNanos)).isEmpty();
        assertThat(report(item, ItemEnd.COMPLETED)).isEmpty();
    }

    /** A chunk was being loaded from a store host when the job was cancelled: its items must not be handed out. */
    @Test
    void aChunkLoadedAfterAStopIsNotHandedOut() {
        int chunk = job.nextChunkToLoad().orElseThrow();
        job.stop();
        job.chunkLoaded(chunk, List.of("{}", "{}"));

        assertThat(job.handOutNext(STEWARD, nowNanos)).isEmpty();
    }

    @Test
    void aLargeJobHasOnlyAWindowOfChunksInMemory() {
        OwnedJob large = job("caller", 100, 1000);
        int chunksToLoad = 0;
        while (large.nextChunkToLoad().isPresent()) {
            chunksToLoad++;
        }

        assertThat(chunksToLoad).isEqualTo(OwnedJob.CHUNK_WINDOW);
    }

    /** Items take a minute each, much longer than initially assumed, so the job becomes urgent. */
    @Test
    void aJobWhoseItemsAreSlowBecomesUrgent() {
        OwnedJob slow = loaded(job("caller", 100, 200_000));
        DispatchContext context = new DispatchContext(0, Map.of());
        assertThat(EarliestDeadlineFairOrder.isUrgent(slow, context)).isFalse();
        for (int i = 0; i < 8; i++) {
            WorkItem item = slow.handOutNext(STEWARD, nowNanos).orElseThrow();
            nowNanos += TimeUnit.SECONDS.toNanos(60);
            slow.report(new ItemOutcome(item.index(), FENCE, item.handout(), ItemEnd.COMPLETED, "", 1), nowNanos);
        }

        assertThat(EarliestDeadlineFairOrder.isUrgent(slow, context)).isTrue();
    }

    @Test
    void urgentJobsGoFirstAndOtherwiseCallersTakeTurns() {
        OwnedJobs ownedJobs = new OwnedJobs(new EarliestDeadlineFairOrder());
        OwnedJob jobOfBusyCaller = loaded(job("many", 8, 10_000_000));
        OwnedJob jobOfOtherCaller = loaded(job("few", 8, 20_000_000));
        OwnedJob urgentJobOfBusyCaller = loaded(job("many", 8, 100));
        ownedJobs.add(jobOfBusyCaller);
        ownedJobs.add(jobOfOtherCaller);
        ownedJobs.add(urgentJobOfBusyCaller);

        List<WorkItem> items = ownedJobs.handOut("s", 12, STEWARD, 0, 0);

        assertThat(items.subList(0, 8)).allMatch(item -> item.job().equals("many/due-100"));
        assertThat(items.subList(8, 12)).allMatch(item -> item.job().equals("few/due-20000000"));
    }

    private Optional<ChunkResult> report(WorkItem item, ItemEnd end) {
        return job.report(new ItemOutcome(item.index(), item.fence(), item.handout(), end, "text", 4), nowNanos);
    }

    private WorkItem handOutItem() {
        loaded(job);
        return job.handOutNext(STEWARD, nowNanos).orElseThrow();
    }

    private void advanceOneSecond() {
        nowNanos += TimeUnit.SECONDS.toNanos(1);
    }

    private static OwnedJob loaded(OwnedJob job) {
        Optional<Integer> chunk = job.nextChunkToLoad();
        while (chunk.isPresent()) {
            job.chunkLoaded(chunk.get(), List.of("{}", "{}"));
            chunk = job.nextChunkToLoad();
        }
        return job;
    }

    private static OwnedJob job(String caller, int items, long dueMillis) {
        List<String> chunks = IntStream.range(0, (items + 1) / 2)
                .mapToObj(chunk -> "c" + chunk)
                .toList();
        JobRecord record = new JobRecord(JobState.RUNNING, "hash", "s", "m", dueMillis, 0, items, 2, chunks);
        return new OwnedJob(new JobKey(caller, "due-" + dueMillis), record, 3, FENCE, new BitSet());
    }
}
