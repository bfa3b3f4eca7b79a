package org.gooseberryhill.control;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.WaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import io.vavr.Lazy;
import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.LazyLoggers;

/**
 * Runs tasks sequentially on a single thread, which takes them from a Disruptor ring buffer. Thread-safe.
 *
 * <p>Invariant: the control state of a process is accessed only by tasks of its loop, so the decision core needs no
 * locks. An exception thrown by a task is logged and does not end the loop. An {@link Error} ends it, since the state
 * may be half changed: no task runs afterwards, no thread waits for the loop, and the futures of {@link #failWith} fail.
 */
public final class ControlLoop implements Executor, Closeable {
    /**
     * Maximum number of queued tasks; a full ring blocks the publishing traffic threads instead of growing without bound.
     */
    private static final int RING_BUFFER_SIZE = 1 << 14;

    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;
    /** Longer than any process runs; a due time must not wrap. */
    private static final long MAX_DELAY_MILLIS = TimeUnit.DAYS.toMillis(10_000);

    private static final long FULL_RING_PAUSE_NANOS = 1_000;
    private static final long NO_MEMORY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final Lazy<Logger> LOG = LazyLoggers.of(ControlLoop.class);
    private static final EventTranslatorOneArg<TaskEvent, Runnable> SET_TASK =
            (event, sequence, task) -> event.task = task;

    private final Disruptor<TaskEvent> disruptor;
    private final Timers timers = new Timers(nowNanos());
    private final Queue<Runnable> nestedTasks = new ArrayDeque<>();
    private final LongAdder failedTasks = new LongAdder();
    private volatile Thread loopThread;
    private final List<CompletableFuture<?>> failingFutures = new CopyOnWriteArrayList<>();
    private volatile boolean closed;
    private volatile Throwable failure;
    private volatile long lastTakenNanos = nowNanos();

    /** Starts a loop; the name is the prefix of its thread's name. */
    public ControlLoop(String name) {
        ThreadFactory threadFactory = task -> {
            loopThread = new Thread(task, name + "-control");
            loopThread.setDaemon(true);
            return loopThread;
        };
        WaitStrategy waitStrategy = new TimedWaitStrategy(() -> timers.nanosUntilNextDue(nowNanos()));
        disruptor = new Disruptor<>(TaskEvent::new, RING_BUFFER_SIZE, threadFactory, ProducerType.MULTI, waitStrategy);
        disruptor.setDefaultExceptionHandler(new FailureHandler());
        disruptor.handleEventsWith(new TaskHandler());
        disruptor.start();
    }

    /** Returns the monotonic time in nanoseconds on which all decisions of this process are based. */
    public long nowNanos() {
        return System.nanoTime();
    }

    /**
     * Runs a task on the loop's thread after the tasks queued before it. A loop that is closed or has failed discards
     * the task.
     */
    @Override
    public void execute(Runnable task) {
        if (hasEnded()) {
            return;
        }
        // Publishing from the loop's own thread to a full ring would deadlock, since only this thread frees slots.
        // Tasks submitted by a task therefore go to a separate queue and run right after the current task.
        if (Thread.currentThread() == loopThread) {
            nestedTasks.add(task);
            return;
        }
        while (!disruptor.getRingBuffer().tryPublishEvent(SET_TASK, task) && !hasEnded()) {
            LockSupport.parkNanos(FULL_RING_PAUSE_NANOS);
        }
    }

    /** Runs a task on the loop's thread after a delay in milliseconds, which may be of any length. */
    public void after(long delayMillis, Runnable task) {
        long dueNanos = nowNanos() + TimeUnit.MILLISECONDS.toNanos(Math.min(delayMillis, MAX_DELAY_MILLIS));
        execute(() -> timers.add(dueNanos, task));
    }

    /** Runs a task on the loop's thread repeatedly, with a pause in milliseconds before each run. */
    public void every(long pauseMillis, Runnable task) {
        after(pauseMillis, () -> {
            runLoggingExceptions(task);
            every(pauseMillis, task);
        });
    }

    /** Returns the number of tasks that have thrown something. */
    public long failedTasks() {
        return failedTasks.sum();
    }

    /**
     * Returns the time in nanoseconds since the loop last took a task or a timer, or woke up for one. It grows while a
     * task blocks, and after the loop has failed.
     */
    public long delayNanos() {
        return nowNanos() - lastTakenNanos;
    }

    /** Completes a future exceptionally if an {@link Error} ends the loop or has ended it. */
    public void failWith(CompletableFuture<?> future) {
        failingFutures.add(future);
        if (failure != null) {
            future.completeExceptionally(failure);
        }
    }

    @Override
    public void close() {
        closed = true;
        if (failure != null) {
            return;
        }
        try {
            disruptor.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOG.get().warn("control thread did not stop within {} s; halting it", SHUTDOWN_TIMEOUT_SECONDS);
            disruptor.halt();
        }
    }

    private boolean hasEnded() {
        return closed || failure != null;
    }

    private void runWithNestedTasks(Runnable task) {
        runLoggingExceptions(task);
        while (!nestedTasks.isEmpty()) {
            runLoggingExceptions(nestedTasks.poll());
        }
    }

    private void runDueTimers() {
        Optional<Runnable> due = timers.takeDue(nowNanos());
        while (due.isPresent() && !closed) {
            runWithNestedTasks(due.get());
            due = timers.takeDue(nowNanos());
        }
    }

    private void runLoggingExceptions(Runnable task) {
        lastTakenNanos = nowNanos();
        try {
            task.run();
        } catch (Exception e) {
            // A task may throw a checked exception that the compiler does not know of, as Try.get() does.
            failedTasks.increment();
            LOG.get().error("control task failed", e);
        } catch (Error e) {
            failedTasks.increment();
            throw e;
        }
    }

    /** Runs the tasks of the ring, and due timers between batches of tasks and on timeouts. */
    private final class TaskHandler implements EventHandler<TaskEvent> {
        @Override
        public void onEvent(TaskEvent event, long sequence, boolean endOfBatch) {
            Runnable task = event.task;
            event.task = null;
            runWithNestedTasks(task);
            if (endOfBatch) {
                runDueTimers();
            }
        }

        @Override
        public void onTimeout(long sequence) {
            runDueTimers();
        }
    }

    /** Ends the loop when a task, a timer or the wait for them has thrown something that is no exception of a task. */
    private final class FailureHandler implements ExceptionHandler<TaskEvent> {
        @Override
        public void handleEventException(Throwable thrown, long sequence, TaskEvent event) {
            failure = thrown;
            try {
                LOG.get().error("control thread ends", thrown);
            } finally {
                failFutures(thrown);
                disruptor.halt();
            }
        }

        @Override
        public void handleOnStartException(Throwable thrown) {
            handleEventException(thrown, -1, null);
        }

        @Override
        public void handleOnShutdownException(Throwable thrown) {
            LOG.get().error("control thread ended with an exception", thrown);
        }

        private void failFutures(Throwable thrown) {
            boolean completed = false;
            while (!completed) {
                try {
                    failingFutures.forEach(future -> future.completeExceptionally(thrown));
                    completed = true;
                } catch (OutOfMemoryError e) {
                    // The other threads go on and free memory. There is nothing to log with until then.
                    LockSupport.parkNanos(NO_MEMORY_PAUSE_NANOS);
                }
            }
        }
    }

    /** A slot of the ring buffer. */
    private static final class TaskEvent {
        private Runnable task;
    }
}
