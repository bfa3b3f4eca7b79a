package org.gooseberryhill.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events without changing a byte. Not thread-safe.
 *
 * <p>Invariants: only complete events are returned, so another endpoint can continue a stream that was relayed in part. The
 * events and the remainder together contain all bytes of the stream, unchanged.
 */
public final class EventSplitter {
    private static final byte[] NO_BYTES = new byte[0];

    private byte[] partial = NO_BYTES;
    private boolean lineIsEmpty = true;

    /** Appends bytes of the stream and returns the events that they complete. */
    public List<StreamEvent> read(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>(1);
        int eventStart = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte next = bytes[index];
            if (next == '\n') {
                boolean blankLine = lineIsEmpty && partial.length + index - eventStart > 0;
                lineIsEmpty = true;
                if (blankLine) {
                    events.add(new StreamEvent(prependPartial(bytes, eventStart, index + 1)));
                    partial = NO_BYTES;
                    eventStart = index + 1;
                }
            } else if (next != '\r') {
                lineIsEmpty = false;
            }
        }
        if (eventStart < bytes.length) {
            partial = prependPartial(bytes, eventStart, bytes.length);
        }
        return events;
    }

    /**
     * Returns whether the stream has begun an event that is not complete. Line terminators between events do not begin one.
     */
    public boolean isInsideEvent() {
        for (byte next : partial) {
            if (next != '\n' && next != '\r') {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of bytes after the last complete event. */
    public int remainderBytes() {
        return partial.length;
    }

    /** Returns the bytes after the last complete event. */
    public byte[] remainder() {
        return partial.clone();
    }

    private byte[] prependPartial(byte[] bytes, int from, int to) {
        if (partial.length == 0) {
            return from == 0 && to == bytes.length ? bytes : Arrays.copyOfRange(bytes, from, to);
        }
        byte[] joined = Arrays.copyOf(partial, partial.length + to - from);
        System.arraycopy(bytes, from, joined, partial.length, to - from);
        return joined;
    }
}
