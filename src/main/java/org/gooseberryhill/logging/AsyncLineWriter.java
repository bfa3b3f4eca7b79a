package org.gooseberryhill.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.gooseberryhill.timeline.TimelineEvent;
import org.gooseberryhill.timeline.TimelineLineFormat;

/**
 * Writes events as lines to a stream on a separate thread. Thread-safe.
 *
 * <p>Guards against a host that stops serving because nobody reads its standard output: callers that wrote to it
 * directly would block. Only the writer thread blocks on the stream; batches that do not fit into the bounded queue are
 * dropped and their lines counted.
 *
 * <p>Invariants: lines are written whole and in the order in which they were queued; a batch that can't be written is
 * dropped and does not keep later ones from being written.
 */
final class AsyncLineWriter {
    /** The number of batches of lines that the queue holds. */
    static final int QUEUE_CAPACITY = 1024;

    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final BlockingQueue<List<TimelineEvent>> queue;
    private final LongAdder droppedLines = new LongAdder();
    private final OutputStream stream;

    /** The number of batches that are queued or being written. */
    private final AtomicInteger unwrittenBatches = new AtomicInteger();

    /** Starts a writer to a stream, which must not be closed elsewhere. */
    AsyncLineWriter(OutputStream stream) {
        this(stream, new ArrayBlockingQueue<>(QUEUE_CAPACITY));
    }

    /** Starts a writer to a stream that uses the given queue. */
    AsyncLineWriter(OutputStream stream, BlockingQueue<List<TimelineEvent>> queue) {
        this.stream = stream;
        this.queue = queue;
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a batch of events; drops it if the queue is full. Never blocks. */
    void enqueue(List<TimelineEvent> events) {
        unwrittenBatches.incrementAndGet();
        if (!queue.offer(List.copyOf(events))) {
            unwrittenBatches.decrementAndGet();
            droppedLines.add(events.size());
        }
    }

    /** Returns the number of lines that were dropped. */
    long droppedLines() {
        return droppedLines.sum();
    }

    /** Waits until all queued events are written, or until a timeout in milliseconds has passed. */
    void awaitWritten(long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!isAllWritten() && System.nanoTime() - deadlineNanos < 0) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /** Returns whether no queued batch remains to be written. */
    boolean isAllWritten() {
        return unwrittenBatches.get() == 0;
    }

    private void run() {
        try {
            while (true) {
                List<TimelineEvent> events = queue.take();
                writeOrDrop(events);
                unwrittenBatches.decrementAndGet();
            }
        } catch (IOException e) {
            // The stream is closed: there is nowhere left to report the error.
            droppedLines.increment();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeOrDrop(List<TimelineEvent> events) throws IOException {
        try {
            stream.write(TimelineLineFormat.formatUtf8(events));
            stream.flush();
        } catch (RuntimeException | Error e) {
            // The failure of the log can't be logged; it shows in the number of dropped lines.
            droppedLines.add(events.size());
        }
    }
}
