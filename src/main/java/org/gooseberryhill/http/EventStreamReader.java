package org.gooseberryhill.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.gooseberryhill.link.Json;

/**
 * Cuts a stream of server-sent events into whole events. Used by one thread at a time.
 *
 * <p>Invariant: only whole events come out, so what is passed on can be continued by another endpoint.
 */
public final class EventStreamReader {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private byte last;

    /** Takes in bytes; the consumer gets each whole event. */
    public void read(byte[] bytes, EventConsumer consumer) {
        for (byte next : bytes) {
            if (next == '\r') {
                continue;
            }
            partial.write(next);
            if (next == '\n' && last == '\n') {
                emit(consumer);
                last = 0;
            } else {
                last = next;
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
        if (data.equals(DONE)) {
            consumer.onEvent(event, "", true);
            return;
        }
        consumer.onEvent(event, token(data), false);
    }

    private static String token(String data) {
        JsonNode choice = Json.tree(data.getBytes(StandardCharsets.UTF_8))
                .map(json -> json.path("choices").path(0))
                .getOrElse(Json.object());
        String content = choice.path("delta").path("content").asText("");
        return content.isEmpty() ? choice.path("text").asText("") : content;
    }

    /** Takes whole events. */
    @FunctionalInterface
    public interface EventConsumer {
        /** An event as it came, the token in it if any, and whether it is the end mark. */
        void onEvent(byte[] event, String token, boolean done);
    }
}
