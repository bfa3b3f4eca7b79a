package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventStreamReaderTest {
    private static final byte[] STREAM = ("data: {\"choices\":[{\"delta\":{\"content\":\"é \"}}]}\n\n"
                    + ": a comment\n\n"
                    + "data: {\"choices\":[{\"text\":\"b\"}]}\r\n\r\n"
                    + "data: [DONE]\n\n"
                    + "data: {\"cut")
            .getBytes(StandardCharsets.UTF_8);

    /** Whatever the size of the pieces, the same complete events are emitted, and never the truncated one. */
    @Test
    void onlyCompleteEventsAreEmittedWhateverTheSizeOfThePieces() {
        for (int size = 1; size <= STREAM.length; size++) {
            EventStreamReader reader = new EventStreamReader();
            List<String> tokens = new ArrayList<>();
            List<Boolean> ends = new ArrayList<>();
            for (int from = 0; from < STREAM.length; from += size) {
                byte[] piece = Arrays.copyOfRange(STREAM, from, Math.min(STREAM.length, from + size));
                reader.read(piece, (event, token, isEndMark) -> {
                    tokens.add(token);
                    ends.add(isEndMark);
                });
            }
            assertThat(tokens).containsExactly("é ", "", "b", "");
            assertThat(ends).containsExactly(false, false, false, true);
        }
    }
}
