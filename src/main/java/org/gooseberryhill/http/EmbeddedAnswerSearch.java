package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Searches the body of an answer for another answer, by which a body that stops too early may be completed. Used by one event
 * loop thread.
 *
 * <p>Invariants: bytes that may belong to the head of another answer are not passed on before it is decided whether they do;
 * none are passed on once another answer has been found.
 */
final class EmbeddedAnswerSearch {
    private static final byte[] NOTHING = new byte[0];

    private final Predicate<HttpHeaders> isOfAnotherAnswer;
    private byte[] undecided = NOTHING;
    private boolean found;
    private long decidedBytes;
    private long quotedToByte;

    /**
     * Creates a search.
     *
     * @param isOfAnotherAnswer whether fields inside the body prove that it contains another answer; if they do not, a sound body may quote
     *     them
     */
    EmbeddedAnswerSearch(Predicate<HttpHeaders> isOfAnotherAnswer) {
        this.isOfAnotherAnswer = isOfAnotherAnswer;
    }

    /** Searches the next part of the body and returns what can be passed on of it and of what was undecided. */
    byte[] read(byte[] part) {
        if (found) {
            return NOTHING;
        }
        byte[] bytes = undecided.length == 0 ? part : concatenate(undecided, part);
        undecided = NOTHING;
        int index = nextHead(bytes, 0);
        while (index < bytes.length) {
            EmbeddedHead.Reading reading = EmbeddedHead.read(bytes, index);
            if (!reading.possible()) {
                index = nextHead(bytes, reading.resumeIndex());
                continue;
            }
            if (reading.head().isEmpty()) {
                undecided = Arrays.copyOfRange(bytes, index, bytes.length);
                return passOn(bytes, index);
            }
            EmbeddedHead head = reading.head().get();
            if (isOfAnotherAnswer.test(head.headers())) {
                found = true;
                return passOn(bytes, index);
            }
            quotedToByte = endOfQuoted(head);
            index = nextHead(bytes, reading.resumeIndex());
        }
        return passOn(bytes, bytes.length);
    }

    /** Returns whether another answer was found inside the body. */
    boolean hasFound() {
        return found;
    }

    /**
     * Returns whether the body, if it ends here, ends inside an answer that it quotes, or that completes it: what follows on the
     * connection tells which.
     */
    boolean endsInsideAnswer() {
        return undecided.length > 0 || quotedToByte > decidedBytes;
    }

    /** Returns the bytes that are still undecided, which count as content from now on. */
    byte[] takeUndecided() {
        byte[] taken = undecided;
        undecided = NOTHING;
        decidedBytes += taken.length;
        return taken;
    }

    private long endOfQuoted(EmbeddedHead head) {
        long headEnd = decidedBytes + head.endIndex();
        long bodyBytes = head.bodyBytes();
        return bodyBytes > Long.MAX_VALUE - headEnd ? Long.MAX_VALUE : headEnd + bodyBytes;
    }

    /** Returns the next index at which a head may begin; the number of bytes if there is none. */
    private static int nextHead(byte[] bytes, int from) {
        int index = from;
        while (index < bytes.length && !(bytes[index] == 'H' && EmbeddedHead.mayBeginAt(bytes, index))) {
            index++;
        }
        return index;
    }

    private byte[] passOn(byte[] bytes, int length) {
        decidedBytes += length;
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
