package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

class EventSplitterProperties {
    private static final String EVENT = "id: 7\r\ndata: word\r\n\r\n";
    private static final int EVENT_BYTES = 21;

    /** A stream may be received in pieces cut anywhere, even inside an event or its id; its events must not change. */
    @Property
    void eventsDoNotDependOnHowTheBytesAreSplit(
            @ForAll("streams") String stream, @ForAll @IntRange(min = 1, max = 40) int pieceBytes) {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        EventSplitter wholeSplitter = new EventSplitter();
        EventSplitter pieceSplitter = new EventSplitter();

        List<String> expected = texts(wholeSplitter.read(bytes));
        List<StreamEvent> events = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += pieceBytes) {
            int to = Math.min(bytes.length, from + pieceBytes);
            events.addAll(pieceSplitter.read(Arrays.copyOfRange(bytes, from, to)));
        }

        assertThat(texts(events)).isEqualTo(expected);
        assertThat(pieceSplitter.remainder()).isEqualTo(wholeSplitter.remainder());
    }

    /** No byte may be changed, dropped or duplicated. */
    @Property
    void theEventsAndTheRemainderContainAllBytes(@ForAll("streams") String stream) {
        EventSplitter splitter = new EventSplitter();
        ByteArrayOutputStream joined = new ByteArrayOutputStream();

        splitter.read(stream.getBytes(StandardCharsets.UTF_8)).forEach(event -> joined.writeBytes(event.raw()));
        joined.writeBytes(splitter.remainder());

        assertThat(joined.toString(StandardCharsets.UTF_8)).isEqualTo(stream);
    }

    @Property
    void eachEventEndsWithItsBlankLine(@ForAll("streams") String stream) {
        EventSplitter splitter = new EventSplitter();

        assertThat(texts(splitter.read(stream.getBytes(StandardCharsets.UTF_8))))
                .map(event -> event.replace("\r", ""))
                .allMatch(event -> event.endsWith("\n\n") || event.equals("\n"));
    }

    /** A stream that ends after any of its events is not inside one, wherever line terminators follow. */
    @Property
    void aStreamOfCompleteEventsEndsOutsideAnEvent(
            @ForAll @IntRange(max = 20) int events, @ForAll("lineTerminators") String trailing) {
        EventSplitter splitter = new EventSplitter();

        splitter.read((EVENT.repeat(events) + trailing).getBytes(StandardCharsets.UTF_8));

        assertThat(splitter.isInsideEvent()).isFalse();
    }

    /** Guards against a truncated stream that counts as complete, whichever byte of an event it ends after. */
    @Property
    void aStreamThatEndsBeforeTheBlankLineOfAnEventEndsInsideIt(
            @ForAll @IntRange(max = 20) int events, @ForAll @IntRange(min = 1, max = EVENT_BYTES - 1) int bytesOfNext) {
        EventSplitter splitter = new EventSplitter();

        splitter.read((EVENT.repeat(events) + EVENT.substring(0, bytesOfNext)).getBytes(StandardCharsets.UTF_8));

        assertThat(splitter.isInsideEvent()).isTrue();
    }

    /** Guards against bytes without end that are kept, or looked through again and again. */
    @Property
    void bytesWithoutAnEventAreRefusedAtTheLimit(
            @ForAll("contentless") String piece, @ForAll @IntRange(min = 1, max = 9000) int pieceBytes) {
        EventSplitter splitter = new EventSplitter();
        byte[] bytes = piece.repeat(pieceBytes).substring(0, pieceBytes).getBytes(StandardCharsets.UTF_8);
        splitter.read(EVENT.getBytes(StandardCharsets.UTF_8));
        int limit = EventSplitter.MAX_BYTES_TO_NEXT_EVENT;

        for (int read = bytes.length; read <= limit; read += bytes.length) {
            splitter.read(bytes);
        }
        assertThatThrownBy(() -> splitter.read(bytes)).isInstanceOf(MalformedAnswerException.class);
    }

    /** Guards against a long stream that is refused although each of its events is short. */
    @Example
    void theLimitCountsFromTheLastEvent() {
        EventSplitter splitter = new EventSplitter();
        int events = 0;
        for (int read = 0; read < 4 * EventSplitter.MAX_BYTES_TO_NEXT_EVENT; read += EVENT_BYTES + 3) {
            events += splitter.read((EVENT + ":\n\n").getBytes(StandardCharsets.UTF_8)).stream()
                    .filter(StreamEvent::hasContent)
                    .count();
        }

        assertThat(events).isGreaterThan(EventSplitter.MAX_BYTES_TO_NEXT_EVENT / EVENT_BYTES);
    }

    @Provide
    Arbitrary<String> contentless() {
        return Arbitraries.of("x", "\n", ": wait\n\n", "event: x\n", "x\r\n\r\n");
    }

    @Provide
    Arbitrary<String> lineTerminators() {
        return Arbitraries.of("\n", "\r\n", "\r").list().ofMaxSize(3).map(list -> String.join("", list));
    }

    @Provide
    Arbitrary<String> streams() {
        Arbitrary<String> parts = Arbitraries.of(
                "id: 1\n", "id:22\r\n", "data: word\n", "data: \u00e4\n", "\n", "\r\n", ":\n", "x", "\r");
        return parts.list().ofMaxSize(30).map(list -> String.join("", list));
    }

    private static List<String> texts(List<StreamEvent> events) {
        return events.stream()
                .map(event -> new String(event.raw(), StandardCharsets.UTF_8))
                .toList();
    }
}
