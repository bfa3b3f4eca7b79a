package org.gooseberryhill.timeline;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Writes flat JSON objects in UTF-8, one per line. Not thread-safe.
 *
 * <p>Guards against logging that takes too much processor time: with the generator of the JSON library it takes one
 * fiftieth of a process's work under load, since the generator makes several calls for each character and a process
 * writes its first thousand lines in interpreted code. This class instead copies each text as a whole and has the
 * library escape only texts that need it.
 */
final class JsonLineWriter {
    /** The length of an ISO 8601 time up to the seconds, such as 2026-01-31T12:34:56. */
    private static final int SECONDS_CHARACTERS = 19;

    private static final int FIRST_PRINTABLE = 0x20;
    private static final int MILLIS_DIGITS = 3;
    private static final int DECIMAL = 10;

    private byte[] buffer;
    private int length;
    private long cachedSecond = Long.MIN_VALUE;
    private String cachedSecondText = "";
    private boolean firstField;

    JsonLineWriter(int expectedBytes) {
        buffer = new byte[Math.max(1, expectedBytes)];
    }

    /** Begins a line. */
    void begin() {
        append("{");
        firstField = true;
    }

    /** Ends a line. */
    void end() {
        append("}\n");
    }

    void text(String name, String value) {
        appendName(name);
        append("\"");
        int start = length;
        append(value);
        if (!isPlain(start)) {
            length = start;
            // quoteAsUTF8() fails for an unpaired surrogate, which would lose the line.
            String quoted = new String(JsonStringEncoder.getInstance().quoteAsString(value));
            append(quoted.getBytes(StandardCharsets.UTF_8));
        }
        append("\"");
    }

    void number(String name, long value) {
        appendName(name);
        append(Long.toString(value));
    }

    /** Writes a number; as a text if it is not finite, which JSON cannot represent. */
    void number(String name, double value) {
        if (!Double.isFinite(value)) {
            text(name, Double.toString(value));
            return;
        }
        appendName(name);
        append(Double.toString(value));
    }

    void flag(String name, boolean value) {
        appendName(name);
        append(value ? "true" : "false");
    }

    /** Writes epoch milliseconds as an ISO 8601 time in UTC with milliseconds. */
    void time(String name, long epochMillis) {
        appendName(name);
        append("\"");
        append(formatSeconds(Math.floorDiv(epochMillis, TimeUnit.SECONDS.toMillis(1))));
        append(".");
        appendMillis((int) Math.floorMod(epochMillis, TimeUnit.SECONDS.toMillis(1)));
        append("Z\"");
    }

    /** Returns all lines written so far. */
    byte[] bytes() {
        return Arrays.copyOf(buffer, length);
    }

    /** Appends a field name. Names are constants of the code, which need no escaping. */
    private void appendName(String name) {
        append(firstField ? "\"" : ",\"");
        firstField = false;
        append(name);
        append("\":");
    }

    private void appendMillis(int millis) {
        ensureCapacity(MILLIS_DIGITS);
        int remaining = millis;
        for (int digit = MILLIS_DIGITS - 1; digit >= 0; digit--) {
            buffer[length + digit] = (byte) ('0' + remaining % DECIMAL);
            remaining /= DECIMAL;
        }
        length += MILLIS_DIGITS;
    }

    private String formatSeconds(long epochSecond) {
        if (epochSecond != cachedSecond) {
            cachedSecond = epochSecond;
            cachedSecondText = Instant.ofEpochSecond(epochSecond).toString().substring(0, SECONDS_CHARACTERS);
        }
        return cachedSecondText;
    }

    /** Appends a text as ISO 8859-1; {@link #isPlain} detects characters that this cannot represent. */
    private void append(String text) {
        append(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void append(byte[] bytes) {
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
    }

    private void ensureCapacity(int bytes) {
        if (length + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * (length + bytes));
        }
    }

    /**
     * Returns whether the bytes from an offset on are ASCII that needs no escaping. In ISO 8859-1, any other character
     * is a negative byte or a question mark.
     */
    private boolean isPlain(int start) {
        for (int i = start; i < length; i++) {
            byte character = buffer[i];
            if (character < FIRST_PRINTABLE || character == '"' || character == '\\' || character == '?') {
                return false;
            }
        }
        return true;
    }
}
