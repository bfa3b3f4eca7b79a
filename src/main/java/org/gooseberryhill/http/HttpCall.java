package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** One request at the server and the way to answer it. Thread-safe; the answer is written in the order of the calls. */
public interface HttpCall {
    /** The method, such as {@code GET}. */
    String method();

    /** The target as sent: path and query. */
    String target();

    /** The decoded path without the query. */
    String path();

    /** A parameter of the query. */
    Optional<String> parameter(String name);

    /** The request's headers. */
    HttpHeaders headers();

    /** Answers at once with a whole body; an answer that has begun ends as broken instead. */
    void reply(int status, Iterable<Map.Entry<String, String>> headers, byte[] body);

    /** Begins a streamed answer. */
    void beginStream(int status, Iterable<Map.Entry<String, String>> headers);

    /** Answers at once with a whole body and one value a header. */
    default void reply(int status, Map<String, String> headers, byte[] body) {
        reply(status, headers.entrySet(), body);
    }

    /** Begins a streamed answer with one value a header. */
    default void beginStream(int status, Map<String, String> headers) {
        beginStream(status, headers.entrySet());
    }

    /** Writes a part of a streamed answer; the future completes when the connection has taken it. */
    CompletableFuture<Void> write(byte[] bytes);

    /** Ends a streamed answer normally. */
    void endStream();

    /** Ends a streamed answer as broken: the connection closes without the end mark, so the caller sees the cut. */
    void abortStream();

    /** Stops or continues reading the request's body, to hold a fast sender back. */
    void readBody(boolean reading);

    /** Calls back once if the caller's connection ends before the answer is complete. */
    void onDisconnect(Runnable callback);
}
