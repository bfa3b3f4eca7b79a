package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.decision.memory.AnswerKind;

/** A request received by the server, and its response. Thread-safe; the response is written in the order of the calls. */
public interface HttpCall {
    /** Returns the method, such as {@code GET}. */
    String method();

    /** Returns the target as sent: path and query. */
    String target();

    /** Returns the decoded path without the query. */
    String path();

    /** Returns the first value of a query parameter. */
    Optional<String> parameter(String name);

    /** Returns the request headers. */
    HttpHeaders headers();

    /** Sends a complete response; if a streamed response has already begun, aborts that instead. */
    void reply(int status, Iterable<Map.Entry<String, String>> headers, byte[] body);

    /**
     * Begins a streamed response whose end is marked by the framing. {@link BodyFraming#CONNECTION_CLOSE} closes the
     * connection after the response.
     */
    void beginStream(int status, Iterable<Map.Entry<String, String>> headers, BodyFraming framing);

    /** Begins a streamed response in chunks, or with the length that its headers announce. */
    default void beginStream(int status, Iterable<Map.Entry<String, String>> headers) {
        beginStream(status, headers, BodyFraming.CHUNKED);
    }

    /** Sends a complete response with one value per header. */
    default void reply(int status, Map<String, String> headers, byte[] body) {
        reply(status, headers.entrySet(), body);
    }

    /** Begins a streamed response with one value per header. */
    default void beginStream(int status, Map<String, String> headers) {
        beginStream(status, headers.entrySet());
    }

    /** Writes a part of a streamed response; the future completes when it is written to the socket. */
    CompletableFuture<Void> write(byte[] bytes);

    /** Completes a streamed response. */
    void endStream();

    /**
     * Aborts a streamed response so that the caller detects the truncation: closes the connection without the last chunk, or
     * resets it if the end of the connection is the end of the response.
     */
    void abortStream();

    /**
     * Pauses or resumes reading the request body, as backpressure on a fast sender.
     *
     * @param reading whether to read
     */
    void setBodyReading(boolean reading);

    /** Sets the kind of the answer, which determines when its connection is closed to free memory. Default: plain. */
    void setAnswerKind(AnswerKind kind);

    /** Returns whether the caller has not accepted all that was written to its connection. */
    boolean hasUnsentAnswer();

    /**
     * Sets how many bytes of the answer are collected before they are sent. They count as held by the process until the
     * response is complete or the connection ends.
     */
    void setBufferedAnswerBytes(long bytes);

    /** Sets the action that gives the final answer if the process ends before there is another one; there is no default. */
    void setLastAnswer(Runnable action);

    /** Runs the action of {@link #setLastAnswer}. */
    void giveLastAnswer();

    /** Sets a callback that runs once if the caller's connection ends before the response is complete. */
    void onDisconnect(Runnable callback);
}
