package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the events of one exchange; called by one event loop thread.
 *
 * <p>Invariant: the last call is exactly one of {@link #onEnd} and {@link #onFailure}, or neither after a cancellation.
 */
public interface ExchangeListener {
    /** Receives the status code and the headers of the response. */
    void onHead(int status, HttpHeaders headers);

    /**
     * Receives the next part of the response body.
     *
     * @throws MalformedAnswerException to end the exchange, since the response can't be an answer
     */
    void onBytes(byte[] bytes);

    /**
     * Returns whether a complete response proves that the endpoint no longer works on the request; called before {@link #onEnd}. If
     * it does not, the connection is closed first, which tells the endpoint that the request was given up.
     */
    default boolean provesEndOfRun() {
        return true;
    }

    /** Called when the response is complete: all bytes of its announced length, or its last chunk, were received. */
    void onEnd();

    /** Called when the exchange ends without a complete response. */
    void onFailure(ExchangeFailure failure);
}
