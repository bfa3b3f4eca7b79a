package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TrafficDelayDetectorTest {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final List<Long> delays = new ArrayList<>();
    private long nowNanos;
    private final TrafficDelayDetector detector = new TrafficDelayDetector(tasks::add, () -> nowNanos, delays::add);

    @Test
    void aLateTrafficThreadIsReported() {
        detector.measure();
        runAfter(500);

        assertThat(delays).containsExactly(500L);
    }

    @Test
    void aShortDelayIsNotReported() {
        detector.measure();
        runAfter(20);

        assertThat(delays).isEmpty();
    }

    /** Guards against measurements that accumulate in the queue of a blocked thread. */
    @Test
    void onlyOneMeasurementIsPendingAtATime() {
        detector.measure();
        detector.measure();
        assertThat(tasks).hasSize(1);

        runAfter(1);
        detector.measure();
        assertThat(tasks).hasSize(1);
    }

    private void runAfter(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        tasks.remove().run();
    }
}
