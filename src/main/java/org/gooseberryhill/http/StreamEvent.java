package org.gooseberryhill.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * One server-sent event. Immutable, provided that the array is not modified.
 *
 * @param raw its bytes as received, including the blank line at its end
 */
public record StreamEvent(byte[] raw) {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final int RADIX = 10;

    /** Any number of this many decimal digits fits into a {@code long}. */
    private static final int MAX_ID_DIGITS = 18;

    /** Returns the last id of the event; empty if it is missing or not a whole number. */
    public Optional<Long> id() {
        Optional<Long> id = Optional.empty();
        for (int from = 0; from < raw.length; from = nextLine(from)) {
            if (startsWith(from, ID)) {
                id = parseNumber(from + ID.length, lineEnd(from));
            }
        }
        return id;
    }

    /** Returns whether the event has an id or data; any other one is a comment or a blank line. */
    public boolean hasContent() {
        for (int from = 0; from < raw.length; from = nextLine(from)) {
            if (startsWith(from, ID) || startsWith(from, DATA)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the data lines, joined by line feeds. */
    public String data() {
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        for (int from = 0; from < raw.length; from = nextLine(from)) {
            if (!startsWith(from, DATA)) {
                continue;
            }
            if (hasData) {
                data.append('\n');
            }
            hasData = true;
            int start = from + DATA.length;
            int end = lineEnd(from);
            if (start < end && raw[start] == ' ') {
                start++;
            }
            data.append(new String(raw, start, end - start, StandardCharsets.UTF_8));
        }
        return data.toString();
    }

    private boolean startsWith(int from, byte[] name) {
        if (raw.length - from < name.length) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (raw[from + i] != name[i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the start of the line that follows the line starting at {@code from}. */
    private int nextLine(int from) {
        int index = from;
        while (index < raw.length && raw[index] != '\n') {
            index++;
        }
        return index + 1;
    }

    /** Returns the end of the line starting at {@code from}, without its line terminator. */
    private int lineEnd(int from) {
        int end = Math.min(nextLine(from) - 1, raw.length);
        return end > from && raw[end - 1] == '\r' ? end - 1 : end;
    }

    private Optional<Long> parseNumber(int from, int to) {
        int start = from;
        int end = to;
        while (start < end && raw[start] == ' ') {
            start++;
        }
        while (end > start && raw[end - 1] == ' ') {
            end--;
        }
        if (start == end || end - start > MAX_ID_DIGITS) {
            return Optional.empty();
        }
        long value = 0;
        for (int index = start; index < end; index++) {
            if (raw[index] < '0' || raw[index] > '9') {
                return Optional.empty();
            }
            value = value * RADIX + (raw[index] - '0');
        }
        return Optional.of(value);
    }
}
