package org.gooseberryhill.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The head of an answer as it stands inside the body of another one. Immutable, provided that the headers are not modified.
 *
 * @param status its status code
 * @param headers its fields
 * @param endIndex index of the first byte behind its blank line
 */
record EmbeddedHead(int status, HttpHeaders headers, int endIndex) {
    /** A status line: its version, its status code and the beginning of its reason phrase, with a digit for each {@code 0}. */
    private static final byte[] STATUS_LINE = "HTTP/1.0 000".getBytes(StandardCharsets.US_ASCII);

    private static final int STATUS_INDEX = "HTTP/1.0 ".length();

    /** A longer head counts as content. */
    private static final int MAX_BYTES = 16 * 1024;

    /** The reason phrase is a few words; a longer line is not a status line. */
    private static final int MAX_STATUS_LINE_BYTES = 256;

    private static final byte DIGIT = '0';

    /** Returns whether a status line, or what there is of it, may begin at an index. */
    static boolean mayBeginAt(byte[] bytes, int index) {
        int length = Math.min(STATUS_LINE.length, bytes.length - index);
        for (int i = 0; i < length; i++) {
            if (!matches(bytes[index + i], STATUS_LINE[i])) {
                return false;
            }
        }
        int behind = index + STATUS_LINE.length;
        return behind >= bytes.length || bytes[behind] == ' ' || bytes[behind] == '\r' || bytes[behind] == '\n';
    }

    /**
     * Reads the head whose status line begins at an index, in time linear in what is read.
     *
     * <p>A head that begins inside the lines that were read would end at the same line, so the search goes on behind them.
     */
    static Reading read(byte[] bytes, int index) {
        int lineStart = lineEnd(bytes, index, MAX_STATUS_LINE_BYTES);
        if (lineStart - index > MAX_STATUS_LINE_BYTES) {
            return Reading.noHead(index + 1);
        }
        while (lineStart < bytes.length) {
            if (lineStart - index > MAX_BYTES) {
                return Reading.noHead(lineStart);
            }
            int next = lineEnd(bytes, lineStart, MAX_BYTES);
            boolean complete = next <= bytes.length && next - lineStart <= MAX_BYTES;
            if (isBlank(bytes, lineStart)) {
                return complete ? Reading.whole(parse(bytes, index, next)) : Reading.INCOMPLETE;
            }
            if (next - lineStart > MAX_BYTES || !isField(bytes, lineStart, Math.min(next, bytes.length), complete)) {
                return Reading.noHead(lineStart);
            }
            lineStart = next;
        }
        return Reading.INCOMPLETE;
    }

    /** Returns how many bytes its body has; {@code Long.MAX_VALUE} if its head does not tell. */
    long bodyBytes() {
        if (BodyFraming.of(status, headers) != BodyFraming.LENGTH) {
            return Long.MAX_VALUE;
        }
        try {
            return Long.parseLong(headers.get("content-length", "0").strip());
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static boolean matches(byte next, byte expected) {
        return expected == DIGIT ? next >= '0' && next <= '9' : next == expected;
    }

    /**
     * Returns the index behind the line feed that ends a line. Without one among the next {@code maxBytes}, that is beyond them; if the
     * bytes end before one, it is beyond their end.
     */
    private static int lineEnd(byte[] bytes, int from, int maxBytes) {
        int end = (int) Math.min(bytes.length, (long) from + maxBytes);
        int index = from;
        while (index < end && bytes[index] != '\n') {
            index++;
        }
        return index + 1;
    }

    private static boolean isBlank(byte[] bytes, int lineStart) {
        int lineFeed = bytes[lineStart] == '\r' ? lineStart + 1 : lineStart;
        return lineFeed >= bytes.length || bytes[lineFeed] == '\n';
    }

    /** Returns whether a line is a field, continues one or, unless it is complete, may become one. */
    private static boolean isField(byte[] bytes, int from, int to, boolean complete) {
        if (bytes[from] == ' ' || bytes[from] == '\t') {
            return true;
        }
        for (int index = from; index < to; index++) {
            if (bytes[index] == ':') {
                return index > from;
            }
            boolean inName = bytes[index] > ' ' && bytes[index] < 0x7f;
            if (!inName) {
                return false;
            }
        }
        return !complete;
    }

    private static EmbeddedHead parse(byte[] bytes, int from, int to) {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        String text = new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
        text.lines().skip(1).forEach(line -> {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
            }
        });
        int status = Integer.parseInt(text.substring(STATUS_INDEX, STATUS_LINE.length));
        return new EmbeddedHead(status, headers, to);
    }

    /**
     * What was read of a head.
     *
     * @param possible whether the bytes are a head or the beginning of one
     * @param head the head if it is complete
     * @param resumeIndex where the search for another head goes on
     */
    record Reading(boolean possible, Optional<EmbeddedHead> head, int resumeIndex) {
        private static final Reading INCOMPLETE = new Reading(true, Optional.empty(), 0);

        private static Reading whole(EmbeddedHead head) {
            return new Reading(true, Optional.of(head), head.endIndex());
        }

        private static Reading noHead(int resumeIndex) {
            return new Reading(false, Optional.empty(), resumeIndex);
        }
    }
}
