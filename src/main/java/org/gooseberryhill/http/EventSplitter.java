package org.gooseberryhill.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events into whole events, byte by byte as they came. Used by one thread at a time.
 *
 * <p>Invariant: only whole events come out, so what is passed on can be continued by another endpoint, and all bytes of
 * the stream are in the events and the rest, none changed.
 */
public final class EventSplitter {
    private static final String ID = "id:";
    private static final String DATA = "data:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;

    /** Takes in bytes; the consumer gets each whole event. */
    public void read(byte[] bytes, Consumer<StreamEvent> consumer) {
        for (byte next : bytes) {
            partial.write(next);
            if (next == '\n') {
                boolean blankLine = lineIsEmpty && partial.size() > 1;
                lineIsEmpty = true;
                if (blankLine) {
                    consumer.accept(parse(partial.toByteArray()));
                    partial.reset();
                }
            } else if (next != '\r') {
                lineIsEmpty = false;
            }
        }
    }

    /** The bytes after the last whole event. */
    public byte[] rest() {
        return partial.toByteArray();
    }

    private static StreamEvent parse(byte[] raw) {
        Optional<Long> id = Optional.empty();
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID)) {
                id = number(line.substring(ID.length()).strip());
            } else if (line.startsWith(DATA)) {
                if (hasData) {
                    data.append('\n');
                }
                hasData = true;
                data.append(withoutFirstSpace(line.substring(DATA.length())));
            }
        }
        return new StreamEvent(raw, id, data.toString());
    }

    private static String withoutFirstSpace(String value) {
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private static Optional<Long> number(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
