package org.gooseberryhill.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.gooseberryhill.timeline.TimelineEvent;
import org.gooseberryhill.timeline.TimelineLines;

/**
 * Writes events as lines to a stream, on a thread of its own. Thread-safe.
 *
 * <p>Failure: nobody reads standard output, its writer waits, and whoever hands events over waits with it: a host that serves
 * nothing since its log is blocked. Here only the thread of the output waits; hand-overs beyond a bound are dropped and
 * counted.
 *
 * <p>Invariant: lines are whole and in the order of their hand-over.
 */
final class LineOutput {
    /** Hand-overs that may wait, each of some lines. */
    static final int MAX_WAITING = 1024;

    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final BlockingQueue<List<TimelineEvent>> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final LongAdder droppedLines = new LongAdder();
    private final OutputStream out;
    private volatile boolean writing;

    /** An output to a stream that nobody else closes. */
    LineOutput(OutputStream out) {
        this.out = out;
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Hands events over; never waits. */
    void write(List<TimelineEvent> events) {
        if (!waiting.offer(List.copyOf(events))) {
            droppedLines.add(events.size());
        }
    }

    /** How many lines were dropped, since nobody read them. */
    long droppedLines() {
        return droppedLines.sum();
    }

    /** Waits until all that was handed over is written, for a time in milliseconds at the most. */
    void await(long millis) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while ((writing || !waiting.isEmpty()) && System.nanoTime() - untilNanos < 0) {
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }

    private void run() {
        try {
            while (true) {
                writing = !waiting.isEmpty();
                List<TimelineEvent> events = waiting.take();
                writing = true;
                out.write(TimelineLines.lines(events));
                out.flush();
            }
        } catch (IOException e) {
            // Standard output is closed: there is no place left to tell it.
            droppedLines.increment();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
