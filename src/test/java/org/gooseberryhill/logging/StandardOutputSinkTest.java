package org.gooseberryhill.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.timeline.TimelineEvent;
import org.gooseberryhill.timeline.TimelineLineFormat;
import org.junit.jupiter.api.Test;

class StandardOutputSinkTest {
    private static final long FINISH_TIMEOUT_MILLIS = 120_000;

    private final CountingStream stream = new CountingStream();
    private final StandardOutputSink sink = new StandardOutputSink(stream, "info");

    @Test
    void eventsAreWrittenInTheirOrder() {
        sink.accept(event("request.ended"));
        sink.accept(event("second"));
        sink.accept(event("third"));

        assertThat(flushedKinds()).containsExactly("request.ended", "second", "third");
    }

    /**
     * At some hundred requests a second with two events each, waking the writer thread for every event is too costly.
     */
    @Test
    void routineEventsAreWrittenTogether() {
        for (int i = 0; i < 10; i++) {
            sink.accept(event("request.ended"));
        }
        assertThat(stream.writes()).isZero();

        sink.flush();
        sink.flush();
        assertThat(flushedKinds()).hasSize(10);
        assertThat(stream.writes()).isEqualTo(1);
    }

    @Test
    void aFullBufferIsWritten() {
        for (int i = 0; i < StandardOutputSink.FLUSH_THRESHOLD; i++) {
            sink.accept(event("request.ended"));
        }
        sink.accept(event("request.ended"));

        stream.awaitWrites(1);
        assertThat(kinds()).hasSize(StandardOutputSink.FLUSH_THRESHOLD);
    }

    /** A failing host must write the reason and the events before it while it still can. */
    @Test
    void aFailureIsWrittenAtOnceWithTheEventsBeforeIt() {
        sink.accept(event("attempt.sent"));
        sink.accept(event("request.failed"));

        stream.awaitWrites(1);
        assertThat(kinds()).containsExactly("attempt.sent", "request.failed");
    }

    @Test
    void aMinimumLevelAboveThatOfEventsDisablesThem() {
        StandardOutputSink disabledSink = new StandardOutputSink(stream, "Error");
        disabledSink.accept(event("request.failed"));
        disabledSink.flushAndAwait(FINISH_TIMEOUT_MILLIS);

        assertThat(stream.writes()).isZero();
    }

    private List<String> flushedKinds() {
        sink.flushAndAwait(FINISH_TIMEOUT_MILLIS);
        return kinds();
    }

    private List<String> kinds() {
        return stream.text()
                .lines()
                .map(line -> TimelineLineFormat.parse(line).orElseThrow().kind())
                .toList();
    }

    private static TimelineEvent event(String kind) {
        return new TimelineEvent(
                new HybridTimestamp(1), "p", kind, Optional.empty(), Optional.empty(), Optional.empty(), Map.of());
    }

    /** A stream that counts the writes to it. Thread-safe. */
    private static final class CountingStream extends ByteArrayOutputStream {
        private int writes;

        @Override
        public synchronized void write(byte[] bytes) {
            super.write(bytes, 0, bytes.length);
            writes++;
            notifyAll();
        }

        synchronized int writes() {
            return writes;
        }

        synchronized String text() {
            return toString(StandardCharsets.UTF_8);
        }

        synchronized void awaitWrites(int number) {
            long deadlineMillis = System.currentTimeMillis() + FINISH_TIMEOUT_MILLIS;
            try {
                while (writes < number && System.currentTimeMillis() < deadlineMillis) {
                    wait(FINISH_TIMEOUT_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
