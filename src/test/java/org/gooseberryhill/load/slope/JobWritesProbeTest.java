package org.gooseberryhill.load.slope;

import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class JobWritesProbeTest {
    /** Guards against a slope that takes the writes of an unfinished job for those of a whole one. */
    @Test
    void aJobThatIsNotDoneInTimeIsNoMeasurement() {
        AtomicLong nowNanos = new AtomicLong();

        assertThatIllegalStateException()
                .isThrownBy(() -> JobWritesProbe.awaitDone(
                        () -> "running", () -> nowNanos.getAndAdd(TimeUnit.SECONDS.toNanos(60))));
    }
}
