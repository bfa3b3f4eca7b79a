package org.gooseberryhill.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.gooseberryhill.link.Json;

/**
 * Splits a stream of server-sent events into complete events and extracts their tokens. Not thread-safe.
 *
 * <p>Invariant: only complete events are emitted, so another endpoint can continue a stream that was relayed in part.
 */
public final class EventStreamReader {
    private static final String DATA = "data:";
    private static final String DONE_DATA = "[DONE]";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private byte previousByte;

    /** Appends bytes of the stream and passes each event that they complete to the consumer. */
    public void read(byte[] bytes, EventConsumer consumer) {
        for (byte next : bytes) {
            if (next == '\r') {
                continue;
            }
            partial.write(next);
            if (next == '\n' && previousByte == '\n') {
                emit(consumer);
                previousByte = 0;
            } else {
                previousByte = next;
            }
        }
    }

    private void emit(EventConsumer consumer) {
        byte[] event = partial.toByteArray();
        partial.reset();
        String text = new String(event, StandardCharsets.UTF_8).strip();
        if (!text.startsWith(DATA)) {
            consumer.onEvent(event, "", false);
            return;
        }
        String data = text.substring(DATA.length()).strip();
        if (data.equals(DONE_DATA)) {
            consumer.onEvent(event, "", true);
            return;
        }
        consumer.onEvent(event, extractToken(data), false);
    }

    private static String extractToken(String data) {
        JsonNode choice = Json.tree(data.getBytes(StandardCharsets.UTF_8))
                .map(json -> json.path("choices").path(0))
                .getOrElse(Json.object());
        String content = choice.path("delta").path("content").asText("");
        return content.isEmpty() ? choice.path("text").asText("") : content;
    }

    /** Consumes complete events. */
    @FunctionalInterface
    public interface EventConsumer {
        /**
         * Handles one event.
         *
         * @param event its bytes as received, without carriage returns
         * @param token the generated text in it; empty if there is none
         * @param isEndMark whether it is the {@code [DONE]} event that ends the stream
         */
        void onEvent(byte[] event, String token, boolean isEndMark);
    }
}
