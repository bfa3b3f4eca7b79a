package org.gooseberryhill.program;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.http.EventStreamReader;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.ExchangeListener;

/**
 * Reads a streamed answer as a caller does and checks its text against the expected one. Used by one traffic thread.
 *
 * <p>Latencies are measured from the intended time of sending, so that a delay before the request is sent counts as
 * latency.
 */
public final class StreamedAnswerChecker implements ExchangeListener {
    /** The outcome of an answer. */
    public enum End {
        /** Complete, with the expected text. */
        WHOLE,
        /** Ended as complete but with another text, which must never happen. */
        WRONG,
        /** Refused with an error status, before any part of an answer. */
        REFUSED,
        /** Cut off in a way that the caller can detect: without the end mark, or by a failed connection. */
        CUT
    }

    private final String expected;
    private final long intendedSendNanos;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private final EventStreamReader events = new EventStreamReader();
    private final StringBuilder text = new StringBuilder();
    private int status;
    private boolean endMarkReceived;

    /** Time from the intended sending to the first token. */
    private long firstTokenNanos;

    /** Time of the latest token, as of {@link System#nanoTime()}. */
    private long lastTokenNanos;

    private long longestGapNanos;
    private int tokens;

    /**
     * Creates a listener for one answer.
     *
     * @param expected the expected text
     * @param intendedSendNanos the intended time of sending, as of {@link System#nanoTime()}
     */
    public StreamedAnswerChecker(String expected, long intendedSendNanos) {
        this.expected = expected;
        this.intendedSendNanos = intendedSendNanos;
    }

    /** Returns a future that completes when the answer has ended, whatever its outcome. */
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
        } else if (!endMarkReceived) {
            complete(End.CUT);
        } else {
            complete(text.toString().equals(expected) ? End.WHOLE : End.WRONG);
        }
    }

    @Override
    public void onFailure(ExchangeFailure failure) {
        complete(status == 0 || status == 200 ? End.CUT : End.REFUSED);
    }

    private void onEvent(byte[] event, String token, boolean isEndMark) {
        endMarkReceived |= isEndMark;
        if (token.isEmpty()) {
            return;
        }
        long now = System.nanoTime();
        if (tokens == 0) {
            firstTokenNanos = now - intendedSendNanos;
        } else {
            longestGapNanos = Math.max(longestGapNanos, now - lastTokenNanos);
        }
        lastTokenNanos = now;
        tokens++;
        text.append(token);
    }

    private void complete(End end) {
        long totalNanos = System.nanoTime() - intendedSendNanos;
        long meanGapNanos = tokens > 1 ? (lastTokenNanos - intendedSendNanos - firstTokenNanos) / (tokens - 1) : 0;
        result.complete(new Result(end, status, firstTokenNanos, meanGapNanos, longestGapNanos, totalNanos, tokens));
    }

    /**
     * The result of an answer as its caller observed it. Times are in nanoseconds.
     *
     * @param end the outcome
     * @param status the HTTP status, 0 if none was received
     * @param firstTokenNanos time from the intended sending to the first token
     * @param meanGapNanos mean time between tokens
     * @param longestGapNanos longest time between tokens
     * @param totalNanos time from the intended sending to the end
     * @param tokens number of tokens received
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
