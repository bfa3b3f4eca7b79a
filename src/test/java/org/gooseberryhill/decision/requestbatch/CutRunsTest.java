package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests when an item is started again whose runs were cut before any output. */
class CutRunsTest {
    private static final int MAX_ATTEMPTS = 3;

    /** An item that is owed is at an endpoint within five seconds of calm; half of that is left for finding a slot. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private final OwnedBatch batch = BatchFixture.batch(3);
    private final ItemProgress item = batch.startableItems(0).get(0);
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);

    /** Guards against an item that crashes each endpoint that runs it, and brings all of them down within seconds. */
    @Test
    void itemWhoseRunsProduceNoOutputGetsIncreasingPauses() {
        List<Long> startedNanos = cutEachRun(TimeUnit.SECONDS.toNanos(30));

        assertThat(startedNanos).hasSizeLessThanOrEqualTo(20);
        assertThat(pauses(startedNanos)).isSorted();
    }

    /** Guards against an item that waits although endpoints are free, because runs of it were cut a while ago. */
    @Test
    void itemWhoseRunsProduceNoOutputIsStartedAgainWithinSeconds() {
        List<Long> startedNanos = cutEachRun(TimeUnit.MINUTES.toNanos(5));

        assertThat(pauses(startedNanos)).allMatch(pause -> pause <= MAX_PAUSE_NANOS);
    }

    /** Guards against pauses for runs that were cut before the item had output at other endpoints. */
    @Test
    void anItemThatHadOutputIsNoSuspectAnyMore() {
        for (int i = 0; i < 2; i++) {
            batch.runStarted(item, BatchFixture.VERSION);
            batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);
        }
        batch.runStarted(item, BatchFixture.VERSION);
        BatchFixture.events(item, 1);
        batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);
        batch.runStarted(item, BatchFixture.VERSION);
        batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);

        assertThat(batch.startableItems(nowNanos)).contains(item);
    }

    /** Starts an item whenever it may start, cuts each run before any output, and returns when the runs started. */
    private List<Long> cutEachRun(long forNanos) {
        List<Long> startedNanos = new ArrayList<>();
        long endNanos = nowNanos + forNanos;
        while (nowNanos < endNanos) {
            if (batch.startableItems(nowNanos).contains(item)) {
                batch.runStarted(item, BatchFixture.VERSION);
                batch.runEnded(item, RunEnd.CUT, MAX_ATTEMPTS, nowNanos);
                startedNanos.add(nowNanos);
            }
            nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
        }
        return startedNanos;
    }

    private static List<Long> pauses(List<Long> startedNanos) {
        return IntStream.range(1, startedNanos.size())
                .mapToObj(i -> startedNanos.get(i) - startedNanos.get(i - 1))
                .toList();
    }
}
