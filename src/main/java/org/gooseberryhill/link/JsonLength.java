package org.gooseberryhill.link;

/** Computes how many bytes a text takes in UTF-8 JSON as {@link Json} writes it. Stateless. */
public final class JsonLength {
    private static final int QUOTES = 2;
    private static final int FIRST_TWO_BYTE_CHARACTER = 0x80;
    private static final int FIRST_THREE_BYTE_CHARACTER = 0x800;
    private static final int SHORT_ESCAPE_BYTES = 2;
    private static final int UNICODE_ESCAPE_BYTES = 6;

    private JsonLength() {}

    /** Returns the length of a text in bytes, with its quotes. */
    public static int of(String text) {
        int bytes = QUOTES;
        for (int i = 0; i < text.length(); i++) {
            bytes += bytes(text.charAt(i));
        }
        return bytes;
    }

    /**
     * Returns the end of the longest part of a text from an index on that takes at most a number of bytes, without quotes. The
     * part has at least one character and does not end inside a surrogate pair.
     */
    public static int endOfPart(String text, int from, int maxBytes) {
        int end = from;
        int bytes = 0;
        while (end < text.length()) {
            int next = text.offsetByCodePoints(end, 1);
            for (int i = end; i < next; i++) {
                bytes += bytes(text.charAt(i));
            }
            if (bytes > maxBytes && end > from) {
                break;
            }
            end = next;
        }
        return end;
    }

    /** Returns the length of a character; the halves of a surrogate pair are escaped. */
    private static int bytes(char character) {
        if (character < FIRST_TWO_BYTE_CHARACTER) {
            return asciiBytes(character);
        }
        if (character < FIRST_THREE_BYTE_CHARACTER) {
            return 2;
        }
        return Character.isSurrogate(character) ? UNICODE_ESCAPE_BYTES : 3;
    }

    private static int asciiBytes(char character) {
        return switch (character) {
            case '"', '\\', '\b', '\t', '\n', '\f', '\r' -> SHORT_ESCAPE_BYTES;
            default -> character < ' ' ? UNICODE_ESCAPE_BYTES : 1;
        };
    }
}
