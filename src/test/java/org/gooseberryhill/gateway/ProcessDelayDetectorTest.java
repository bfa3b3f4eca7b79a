package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessDelayDetectorTest {
    private final ProcessDelayDetector detector = new ProcessDelayDetector(25);
    private long monotonicMillis = 5_000;
    private long epochMillis = 1_000_000;

    @Test
    void regularTicksAreNotReported() {
        assertThat(tick(0, 0)).isEmpty();
        for (int i = 0; i < 100; i++) {
            assertThat(tick(25 + i, 25 + i)).isEmpty();
        }
    }

    @Test
    void aProcessWithoutProcessorTimeIsReported() {
        tick(0, 0);

        assertThat(tick(525, 525)).contains(new ProcessDelayDetector.Delay(500, 0));
    }

    /** A host is suspended for three seconds: its monotonic clock does not count them, its wall clock does. */
    @Test
    void aSuspensionIsReportedSeparately() {
        tick(0, 0);

        assertThat(tick(25, 3025)).contains(new ProcessDelayDetector.Delay(3000, 3000));
    }

    @Test
    void settingTheWallClockBackIsNotADelay() {
        tick(0, 0);

        assertThat(tick(25, -2000)).isEmpty();
    }

    private Optional<ProcessDelayDetector.Delay> tick(long elapsedMonotonicMillis, long elapsedEpochMillis) {
        monotonicMillis += elapsedMonotonicMillis;
        epochMillis += elapsedEpochMillis;
        return detector.tick(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), epochMillis);
    }
}
