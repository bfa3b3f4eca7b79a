package org.gooseberryhill.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the end of a loop by an {@link Error}. */
@Timeout(60)
class ControlLoopFailureTest {
    private static final int TIMEOUT_SECONDS = 10;

    /** More tasks than the ring holds. */
    private static final int TASKS = 1 << 15;

    private final ControlLoop loop = new ControlLoop("test");
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Error failure = new StackOverflowError("expected failure of the task");

    @AfterEach
    void close() {
        loop.close();
    }

    /** A process whose control thread has ended by a task would go on listening. */
    @Test
    void anErrorOfATaskFailsTheEndOfTheProcess() {
        loop.failWith(ended);
        loop.execute(this::fail);

        assertThatThrownBy(() -> ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).hasCause(failure);
    }

    /** A process whose control thread has ended by a timer would go on listening. */
    @Test
    void anErrorOfATimerFailsTheEndOfTheProcess() {
        loop.failWith(ended);
        loop.after(1, this::fail);

        assertThatThrownBy(() -> ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).hasCause(failure);
    }

    @Test
    void aFutureAddedAfterTheFailureFailsAtOnce() {
        loop.failWith(ended);
        loop.execute(this::fail);
        assertThat(ended.handle((done, cause) -> cause)
                        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .join())
                .isSameAs(failure);
        CompletableFuture<Void> later = new CompletableFuture<>();

        loop.failWith(later);

        assertThat(later).isCompletedExceptionally();
    }

    /** Traffic threads would wait for ever for slots of the ring that nobody frees. */
    @Test
    void threadsThatSubmitTasksDoNotWaitForALoopThatHasFailed() throws InterruptedException {
        CompletableFuture<Void> ringIsFull = new CompletableFuture<>();
        loop.execute(() -> {
            ringIsFull.join();
            fail();
        });
        Thread producer = new Thread(() -> {
            for (int i = 0; i < TASKS; i++) {
                loop.execute(() -> {});
            }
        });
        producer.setDaemon(true);
        producer.start();
        while (producer.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }

        ringIsFull.complete(null);
        producer.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));

        assertThat(producer.isAlive()).isFalse();
    }

    /** Work that follows an error would run on state that a task has left half changed. */
    @Test
    void noTaskRunsAfterTheFailure() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Void> next = new CompletableFuture<>();
        loop.failWith(ended);
        loop.execute(() -> {
            started.join();
            fail();
        });
        loop.execute(() -> next.complete(null));
        started.complete(null);
        ended.handle((done, cause) -> cause)
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();

        loop.execute(() -> next.complete(null));
        loop.close();

        assertThat(next).isNotDone();
    }

    private void fail() {
        throw failure;
    }
}
