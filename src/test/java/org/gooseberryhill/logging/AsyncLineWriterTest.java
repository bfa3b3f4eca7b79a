package org.gooseberryhill.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class AsyncLineWriterTest {
    private static final long FINISH_TIMEOUT_MILLIS = 120_000;

    private static final TimelineEvent EVENT = new TimelineEvent(
            new HybridTimestamp(1), "p", "kind", Optional.empty(), Optional.empty(), Optional.empty(), Map.of());

    /** Nobody reads standard output, so the writer thread blocks forever; callers that queue events must not block. */
    @Test
    void aBlockedStreamDoesNotBlockCallersAndDropsAreCounted() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        AsyncLineWriter writer = new AsyncLineWriter(stream);
        writer.enqueue(List.of(EVENT));
        stream.blocked.await();

        for (int i = 0; i < AsyncLineWriter.QUEUE_CAPACITY + 5; i++) {
            writer.enqueue(List.of(EVENT, EVENT));
        }

        assertThat(writer.droppedLines()).isEqualTo(10);
        stream.released.countDown();
    }

    /** A process ends while nobody reads standard output: the wait ends after its timeout. */
    @Test
    void awaitTimesOutOnABlockedStream() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        AsyncLineWriter writer = new AsyncLineWriter(stream);
        writer.enqueue(List.of(EVENT));
        stream.blocked.await();

        writer.awaitWritten(1);

        assertThat(stream.released.getCount()).isEqualTo(1);
        stream.released.countDown();
    }

    /** A process ends after the writer thread has removed the last batch from the queue and before it writes the batch. */
    @Test
    void aBatchRemovedFromTheQueueIsNotWrittenYet() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        PausedQueue queue = new PausedQueue();
        AsyncLineWriter writer = new AsyncLineWriter(stream, queue);
        queue.takeCalled.await();
        writer.enqueue(List.of(EVENT));
        queue.removed.await();

        assertThat(queue).isEmpty();
        assertThat(writer.isAllWritten()).isFalse();

        queue.released.countDown();
        stream.released.countDown();
        writer.awaitWritten(FINISH_TIMEOUT_MILLIS);
        assertThat(writer.isAllWritten()).isTrue();
    }

    /** An error while one batch is written would end the log of the process, and each planned stop would wait for it. */
    @Test
    void batchesAfterOneThatCouldNotBeWrittenAreWritten() {
        AtomicInteger writes = new AtomicInteger();
        AsyncLineWriter writer = new AsyncLineWriter(new OutputStream() {
            @Override
            public void write(int next) {
                write(new byte[] {(byte) next}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                if (writes.incrementAndGet() == 1) {
                    throw new OutOfMemoryError("expected failure of the stream");
                }
            }
        });

        writer.enqueue(List.of(EVENT, EVENT));
        writer.enqueue(List.of(EVENT));
        writer.awaitWritten(10_000);

        assertThat(writes).hasValue(2);
        assertThat(writer.droppedLines()).isEqualTo(2);
    }

    /** A queue that returns a removed batch only after it is released. */
    private static final class PausedQueue extends ArrayBlockingQueue<List<TimelineEvent>> {
        private final transient CountDownLatch takeCalled = new CountDownLatch(1);
        private final transient CountDownLatch removed = new CountDownLatch(1);
        private final transient CountDownLatch released = new CountDownLatch(1);

        private PausedQueue() {
            super(AsyncLineWriter.QUEUE_CAPACITY);
        }

        @Override
        public List<TimelineEvent> take() throws InterruptedException {
            takeCalled.countDown();
            List<TimelineEvent> events = super.take();
            removed.countDown();
            released.await();
            return events;
        }
    }

    /** A stream whose writes block until it is released. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch blocked = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void write(int next) {
            write(new byte[] {(byte) next}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
