package org.gooseberryhill.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events without changing a byte. Not thread-safe.
 *
 * <p>Invariants: only complete events are returned, so another endpoint can continue a stream that was relayed in part. The
 * events and the remainder together contain all bytes of the stream, unchanged. The work grows linearly with the bytes of the
 * stream, and what is kept of them is bounded.
 */
public final class EventSplitter {
    /**
     * Maximum number of bytes from an event with content to the end of the next one. An event holds a few tokens, so what exceeds
     * this are bytes without end.
     */
    public static final int MAX_BYTES_TO_NEXT_EVENT = 512 * 1024;

    private static final int FIRST_CAPACITY_BYTES = 512;
    private static final byte[] NO_BYTES = new byte[0];

    private byte[] partial = NO_BYTES;
    private int partialBytes;
    private int bytesWithoutContent;
    private boolean lineIsEmpty = true;

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @throws MalformedAnswerException if there is no event with content within {@link #MAX_BYTES_TO_NEXT_EVENT}
     */
    public List<StreamEvent> read(byte[] bytes) {
        List<StreamEvent> events = new ArrayList<>(1);
        int eventStart = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte next = bytes[index];
            if (next == '\n') {
                boolean blankLine = lineIsEmpty && partialBytes + index - eventStart > 0;
                lineIsEmpty = true;
                if (blankLine) {
                    StreamEvent event = new StreamEvent(takeEvent(bytes, eventStart, index + 1));
                    bytesWithoutContent = event.hasContent() ? 0 : bytesWithoutContent + event.raw().length;
                    events.add(event);
                    eventStart = index + 1;
                }
            } else if (next != '\r') {
                lineIsEmpty = false;
            }
        }
        keep(bytes, eventStart);
        if (bytesWithoutContent + partialBytes > MAX_BYTES_TO_NEXT_EVENT) {
            throw new MalformedAnswerException("no event within " + MAX_BYTES_TO_NEXT_EVENT + " bytes");
        }
        return events;
    }

    /**
     * Returns whether the stream has begun an event that is not complete. Line terminators between events do not begin one.
     */
    public boolean isInsideEvent() {
        for (int index = 0; index < partialBytes; index++) {
            if (partial[index] != '\n' && partial[index] != '\r') {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of bytes after the last complete event. */
    public int remainderBytes() {
        return partialBytes;
    }

    /** Returns the bytes after the last complete event. */
    public byte[] remainder() {
        return Arrays.copyOf(partial, partialBytes);
    }

    private byte[] takeEvent(byte[] bytes, int from, int to) {
        if (partialBytes == 0) {
            return from == 0 && to == bytes.length ? bytes : Arrays.copyOfRange(bytes, from, to);
        }
        byte[] event = Arrays.copyOf(partial, partialBytes + to - from);
        System.arraycopy(bytes, from, event, partialBytes, to - from);
        partialBytes = 0;
        return event;
    }

    private void keep(byte[] bytes, int from) {
        int added = bytes.length - from;
        if (partialBytes + added > partial.length) {
            int capacity = Math.max(FIRST_CAPACITY_BYTES, Math.max(2 * partial.length, partialBytes + added));
            partial = Arrays.copyOf(partial, capacity);
        }
        System.arraycopy(bytes, from, partial, partialBytes, added);
        partialBytes += added;
    }
}
