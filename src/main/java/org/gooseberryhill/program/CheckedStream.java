package org.gooseberryhill.program;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.http.EventStreamReader;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;

/**
 * Follows a streamed answer as a caller does and checks it whole. Used by one traffic thread.
 *
 * <p>Property: expected text. The result tells times in nanoseconds since the intended sending, so that waiting before
 * the sending counts.
 */
public final class CheckedStream implements ExchangeListener {
    /** How an answer ended. */
    public enum End {
        /** Whole and right. */
        WHOLE,
        /** Ended as whole, but with another text: must never be. */
        WRONG,
        /** Refused before any part of an answer. */
        REFUSED,
        /** Broken off, and shown as such. */
        CUT
    }

    private final String expected;
    private final long intendedNanos;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private final EventStreamReader events = new EventStreamReader();
    private final StringBuilder text = new StringBuilder();
    private int status;
    private boolean doneSeen;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private long longestGapNanos;
    private int tokens;

    /** Follows an answer that shall have this text; times count from the intended sending. */
    public CheckedStream(String expected, long intendedNanos) {
        this.expected = expected;
        this.intendedNanos = intendedNanos;
    }

    /** Completes when the answer has ended in whatever way. */
    public CompletableFuture<Result> result() {
        return result;
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
    }

    @Override
    public void onBytes(byte[] bytes) {
        events.read(bytes, this::onEvent);
    }

    @Override
    public void onEnd() {
        if (status != 200) {
            complete(End.REFUSED);
        } else if (!doneSeen) {
            complete(End.CUT);
        } else {
            complete(text.toString().equals(expected) ? End.WHOLE : End.WRONG);
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        complete(status == 0 || status == 200 ? End.CUT : End.REFUSED);
    }

    private void onEvent(byte[] event, String token, boolean done) {
        doneSeen |= done;
        if (token.isEmpty()) {
            return;
        }
        long now = System.nanoTime();
        if (tokens == 0) {
            firstTokenNanos = now - intendedNanos;
        } else {
            longestGapNanos = Math.max(longestGapNanos, now - lastTokenNanos);
        }
        lastTokenNanos = now;
        tokens++;
        text.append(token);
    }

    private void complete(End end) {
        long totalNanos = System.nanoTime() - intendedNanos;
        long meanGapNanos = tokens > 1 ? (lastTokenNanos - intendedNanos - firstTokenNanos) / (tokens - 1) : 0;
        result.complete(new Result(end, status, firstTokenNanos, meanGapNanos, longestGapNanos, totalNanos, tokens));
    }

    /**
     * An answer as its caller saw it.
     *
     * @param end how it ended
     * @param status the HTTP status, 0 if none came
     * @param firstTokenNanos from the intended sending to the first token
     * @param meanGapNanos mean time between tokens
     * @param longestGapNanos longest time between tokens
     * @param totalNanos from the intended sending to the end
     * @param tokens how many tokens came
     */
    public record Result(
            End end,
            int status,
            long firstTokenNanos,
            long meanGapNanos,
            long longestGapNanos,
            long totalNanos,
            int tokens) {}
}
