package org.gooseberryhill.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

class AsyncLineWriterTest {
    private static final TimelineEvent EVENT = new TimelineEvent(
            new HybridTimestamp(1), "p", "kind", Optional.empty(), Optional.empty(), Optional.empty(), Map.of());

    /** Nobody reads standard output, so the writer thread blocks forever; callers that queue events must not block. */
    @Test
    void aBlockedStreamDoesNotBlockCallersAndDropsAreCounted() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        AsyncLineWriter output = new AsyncLineWriter(stream);
        output.enqueue(List.of(EVENT));
        stream.blocked.await();

        for (int i = 0; i < AsyncLineWriter.QUEUE_CAPACITY + 5; i++) {
            output.enqueue(List.of(EVENT, EVENT));
        }

        assertThat(output.droppedLines()).isEqualTo(10);
        stream.released.countDown();
    }

    /** A process ends while nobody reads standard output: the wait ends after its time-out. */
    @Test
    void awaitTimesOutOnABlockedStream() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        AsyncLineWriter output = new AsyncLineWriter(stream);
        output.enqueue(List.of(EVENT));
        stream.blocked.await();

        output.awaitWritten(1);

        assertThat(stream.released.getCount()).isEqualTo(1);
        stream.released.countDown();
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
