package org.gooseberryhill.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TimersTest {
    /**
     * The origin of the monotonic clock is arbitrary: times on both sides of its overflow must be compared correctly.
     */
    private static final long ORIGIN_NANOS = Long.MAX_VALUE - 5;

    private final Timers timers = new Timers(ORIGIN_NANOS);
    private final List<String> ran = new ArrayList<>();

    @Test
    void tasksComeOutInTheOrderOfTheirTimes() {
        timers.add(ORIGIN_NANOS + 30, () -> ran.add("third"));
        timers.add(ORIGIN_NANOS + 10, () -> ran.add("first"));
        timers.add(ORIGIN_NANOS + 20, () -> ran.add("second"));

        runDue(ORIGIN_NANOS + 30);

        assertThat(ran).containsExactly("first", "second", "third");
    }

    @Test
    void tasksOfOneTimeComeOutAsTheyCameIn() {
        timers.add(ORIGIN_NANOS + 10, () -> ran.add("first"));
        timers.add(ORIGIN_NANOS + 10, () -> ran.add("second"));

        runDue(ORIGIN_NANOS + 10);

        assertThat(ran).containsExactly("first", "second");
    }

    @Test
    void aTaskWaitsForItsTime() {
        timers.add(ORIGIN_NANOS + 10, () -> ran.add("task"));

        runDue(ORIGIN_NANOS + 9);

        assertThat(ran).isEmpty();
        assertThat(timers.nanosToNext(ORIGIN_NANOS + 9)).isEqualTo(1);
    }

    @Test
    void withoutTasksThereIsNoNextTime() {
        assertThat(timers.nanosToNext(ORIGIN_NANOS)).isEqualTo(Long.MAX_VALUE);
        assertThat(timers.takeDue(ORIGIN_NANOS + 100)).isEmpty();
    }

    private void runDue(long nowNanos) {
        Optional<Runnable> due = timers.takeDue(nowNanos);
        while (due.isPresent()) {
            due.get().run();
            due = timers.takeDue(nowNanos);
        }
    }
}
