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
    private final List<String> executed = new ArrayList<>();

    @Test
    void tasksAreTakenInTheOrderOfTheirDueTimes() {
        timers.add(ORIGIN_NANOS + 30, () -> executed.add("third"));
        timers.add(ORIGIN_NANOS + 10, () -> executed.add("first"));
        timers.add(ORIGIN_NANOS + 20, () -> executed.add("second"));

        runDue(ORIGIN_NANOS + 30);

        assertThat(executed).containsExactly("first", "second", "third");
    }

    @Test
    void tasksDueAtTheSameTimeAreTakenInTheOrderOfInsertion() {
        timers.add(ORIGIN_NANOS + 10, () -> executed.add("first"));
        timers.add(ORIGIN_NANOS + 10, () -> executed.add("second"));

        runDue(ORIGIN_NANOS + 10);

        assertThat(executed).containsExactly("first", "second");
    }

    @Test
    void aTaskIsNotTakenBeforeItsDueTime() {
        timers.add(ORIGIN_NANOS + 10, () -> executed.add("task"));

        runDue(ORIGIN_NANOS + 9);

        assertThat(executed).isEmpty();
        assertThat(timers.nanosUntilNextDue(ORIGIN_NANOS + 9)).isEqualTo(1);
    }

    @Test
    void withoutTasksNoTimerIsDue() {
        assertThat(timers.nanosUntilNextDue(ORIGIN_NANOS)).isEqualTo(Long.MAX_VALUE);
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
