package org.gooseberryhill.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Try;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlLoopTest {
    private static final long TIMEOUT_SECONDS = 120;

    private final ControlLoop loop = new ControlLoop("test");
    private final BlockingQueue<String> executed = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void tasksRunInTheOrderOfSubmission() throws InterruptedException {
        for (int i = 0; i < 1000; i++) {
            String name = "task-" + i;
            loop.execute(() -> executed.add(name));
        }

        assertThat(take(1000)).startsWith("task-0", "task-1").endsWith("task-999");
    }

    /** The thread is parked until its next timer is due: a new task must wake it up. */
    @Test
    void aTaskDoesNotWaitForALaterTimer() throws InterruptedException {
        loop.after(TimeUnit.HOURS.toMillis(1), () -> executed.add("timer"));
        loop.execute(() -> executed.add("first"));
        assertThat(take(1)).containsExactly("first");

        loop.execute(() -> executed.add("second"));

        assertThat(take(1)).containsExactly("second");
    }

    /** Guards against requests that fail at once because the timeout of their route is larger than a time can be. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 1_000_000})
    void aTimerOfAnyLengthDoesNotRunAtOnce(long delayMillis) throws InterruptedException {
        loop.after(delayMillis, () -> executed.add("timer"));
        loop.after(20, () -> executed.add("sooner"));

        assertThat(executed.poll(5, TimeUnit.SECONDS)).isEqualTo("sooner");
    }

    @Test
    void anEarlierTimerDoesNotWaitForALaterOneAddedBefore() throws InterruptedException {
        loop.execute(() -> {
            loop.after(TimeUnit.HOURS.toMillis(1), () -> executed.add("later"));
            loop.after(20, () -> executed.add("sooner"));
        });
        assertThat(take(1)).containsExactly("sooner");

        loop.after(20, () -> executed.add("next"));

        assertThat(take(1)).containsExactly("next");
    }

    @Test
    void aPeriodicTaskRunsAgainAfterAFailure() throws InterruptedException {
        loop.every(1, () -> {
            executed.add("run");
            throw new IllegalStateException("expected failure of the task");
        });

        assertThat(take(3)).containsExactly("run", "run", "run");
    }

    /** A checked exception that its method does not declare would end the control thread. */
    @Test
    void aTaskRunsAfterOneThatThrewAnUndeclaredCheckedException() throws InterruptedException {
        loop.execute(() ->
                Try.failure(new IOException("expected failure of the task")).get());
        loop.execute(() -> executed.add("next"));

        assertThat(take(1)).containsExactly("next");
        assertThat(loop.failedTasks()).isEqualTo(1);
    }

    /** A task of the loop adds more tasks than the ring holds: blocking until slots are free would be a deadlock. */
    @Test
    void aTaskOfTheLoopMayAddAnyNumberOfTasks() throws InterruptedException {
        int count = 100_000;
        CountDownLatch remainingTasks = new CountDownLatch(count);
        loop.execute(() -> {
            for (int i = 0; i < count; i++) {
                loop.execute(remainingTasks::countDown);
            }
        });

        assertThat(remainingTasks.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Several threads submit tasks while the loop's thread parks and wakes up repeatedly: no wake-up may be lost. */
    @Test
    void noTaskIsLeftWaitingWhileTheLoopIsParked() throws InterruptedException {
        int threads = 4;
        int tasks = 2000;
        CountDownLatch remainingTasks = new CountDownLatch(threads * tasks);
        for (int thread = 0; thread < threads; thread++) {
            new Thread(() -> {
                        for (int i = 0; i < tasks; i++) {
                            loop.execute(remainingTasks::countDown);
                            Thread.yield();
                        }
                    })
                    .start();
        }

        assertThat(remainingTasks.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aClosedLoopDiscardsTasks() {
        loop.close();
        loop.execute(() -> executed.add("late"));

        assertThat(executed).isEmpty();
    }

    private List<String> take(int count) throws InterruptedException {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(executed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        return names;
    }
}
