package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessPausesTest {
    private final ProcessPauses pauses = new ProcessPauses();
    private long monotonicMillis = 5000;
    private long wallMillis = 70_000;

    @Test
    void aProcessThatTicksWasNotPaused() {
        tick(100, 100);
        tick(100, 100);
        tick(130, 130);

        assertThat(pausedSince(0)).isFalse();
    }

    @Test
    void aPauseCountsForThePeriodsThatItOverlaps() {
        tick(100, 100);
        tick(400, 400);
        final long afterPause = monotonicMillis + 1;
        tick(100, 100);

        assertThat(pausedSince(5000)).isTrue();
        assertThat(pausedSince(afterPause)).isFalse();
    }

    /** Guards against an answer that is handled after a pause, before the tick that would record the pause. */
    @Test
    void aTickThatIsOverdueIsAPause() {
        tick(100, 100);
        monotonicMillis += 300;

        assertThat(pausedSince(monotonicMillis - 10)).isTrue();
    }

    /** Guards against a suspended host, whose monotonic clock stops while endpoints go on. */
    @Test
    void aSuspensionIsAPauseAlthoughTheMonotonicClockStopped() {
        tick(100, 100);
        tick(100, 3100);

        assertThat(pausedSince(5000)).isTrue();
    }

    private void tick(long elapsedMonotonicMillis, long elapsedWallMillis) {
        monotonicMillis += elapsedMonotonicMillis;
        wallMillis += elapsedWallMillis;
        pauses.tick(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), wallMillis);
    }

    private boolean pausedSince(long fromMillis) {
        return pauses.since(TimeUnit.MILLISECONDS.toNanos(fromMillis), TimeUnit.MILLISECONDS.toNanos(monotonicMillis));
    }
}
