package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerWatchTest {
    private final OwnerWatch watch = new OwnerWatch("self");
    private final long startNanos = TimeUnit.SECONDS.toNanos(10);

    @Test
    void anOwnerThatLivesIsNotLost() {
        assertThat(watch.isLost("other", "p1", "p1", startNanos)).isFalse();
    }

    /** The list of live hosts is seconds old and lacks an owner that has just started: its batches stay with it. */
    @Test
    void anOwnerThatIsMissingForAMomentIsNotLost() {
        assertThat(watch.isLost("other", "p1", null, startNanos)).isFalse();
        assertThat(watch.isLost("other", "p1", null, after(2400))).isFalse();
        assertThat(watch.isLost("other", "p1", "p1", after(2450))).isFalse();
        assertThat(watch.isLost("other", "p1", null, after(4000))).isFalse();
    }

    @Test
    void anOwnerThatStaysMissingIsLost() {
        watch.isLost("other", "p1", null, startNanos);

        assertThat(watch.isLost("other", "p1", null, after(2600))).isTrue();
    }

    /** A host came back with another process: it looks after its own batches, and others help only if it does not. */
    @Test
    void aHostThatCameBackIsGivenTimeToTakeItsOwnBatches() {
        watch.isLost("other", "p1", "p2", startNanos);

        assertThat(watch.isLost("other", "p1", "p2", after(4000))).isFalse();
        assertThat(watch.isLost("other", "p1", "p2", after(6100))).isTrue();
    }

    @Test
    void whatAnEarlierProcessOfThisHostLeftIsTakenAtOnce() {
        assertThat(watch.isLost("self", "p1", "p2", startNanos)).isTrue();
    }

    private long after(long millis) {
        return startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
