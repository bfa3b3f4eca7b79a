package org.gooseberryhill.control;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.WaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import io.vavr.Lazy;
import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.Logs;

/**
 * Runs tasks one after the other on one thread, fed through a Disruptor ring. Thread-safe.
 *
 * <p>Invariant: all control state of a process is touched only by tasks of its loop, so the decision core needs no
 * locks. A task that throws is logged and does not end the loop.
 */
public final class ControlLoop implements Executor, Closeable {
    /** Events that may wait; a full ring holds traffic threads back instead of growing without bound. */
    private static final int RING_SIZE = 1 << 14;

    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;
    private static final Lazy<Logger> LOG = Logs.of(ControlLoop.class);
    private static final EventTranslatorOneArg<TaskEvent, Runnable> FILL = (event, sequence, task) -> event.task = task;

    private final Disruptor<TaskEvent> disruptor;
    private final Timers timers = new Timers(nowNanos());
    private final Queue<Runnable> ownTasks = new ArrayDeque<>();
    private volatile Thread loopThread;
    private volatile boolean closed;

    /** Starts a loop whose thread carries a name. */
    public ControlLoop(String name) {
        ThreadFactory loopFactory = task -> {
            loopThread = new Thread(task, name + "-control");
            loopThread.setDaemon(true);
            return loopThread;
        };
        WaitStrategy waiting = new TimedWaitStrategy(() -> timers.nanosToNext(nowNanos()));
        disruptor = new Disruptor<>(TaskEvent::new, RING_SIZE, loopFactory, ProducerType.MULTI, waiting);
        disruptor.handleEventsWith(new TaskHandler());
        disruptor.start();
    }

    /** The monotonic time in nanoseconds that all decisions of this process use. */
    public long nowNanos() {
        return System.nanoTime();
    }

    /** Runs a task on the loop's thread, after the tasks before it. A closed loop drops it. */
    @Override
    public void execute(Runnable task) {
        if (closed) {
            return;
        }
        // A task of the loop itself must not wait for room in the ring that only the loop can make: it would wait
        // for ever. Such tasks wait in a queue of the loop's own and run right after the present one.
        if (Thread.currentThread() == loopThread) {
            ownTasks.add(task);
            return;
        }
        disruptor.publishEvent(FILL, task);
    }

    /** Runs a task on the loop's thread after a delay in milliseconds. */
    public void after(long delayMillis, Runnable task) {
        long dueNanos = nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        execute(() -> timers.add(dueNanos, task));
    }

    /** Runs a task on the loop's thread again and again, with a pause in milliseconds between two runs. */
    public void every(long pauseMillis, Runnable task) {
        after(pauseMillis, () -> {
            runGuarded(task);
            every(pauseMillis, task);
        });
    }

    @Override
    public void close() {
        closed = true;
        try {
            disruptor.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOG.get().warn("the control thread was still busy at the end");
            disruptor.halt();
        }
    }

    private void runAll(Runnable task) {
        runGuarded(task);
        while (!ownTasks.isEmpty()) {
            runGuarded(ownTasks.poll());
        }
    }

    private void runDueTimers() {
        Optional<Runnable> due = timers.takeDue(nowNanos());
        while (due.isPresent() && !closed) {
            runAll(due.get());
            due = timers.takeDue(nowNanos());
        }
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.get().error("a control task failed", e);
        }
    }

    /** Runs what comes through the ring, and timers between. */
    private final class TaskHandler implements EventHandler<TaskEvent> {
        @Override
        public void onEvent(TaskEvent event, long sequence, boolean endOfBatch) {
            Runnable task = event.task;
            event.task = null;
            runAll(task);
            if (endOfBatch) {
                runDueTimers();
            }
        }

        @Override
        public void onTimeout(long sequence) {
            runDueTimers();
        }
    }

    /** A slot of the ring. */
    private static final class TaskEvent {
        private Runnable task;
    }
}
