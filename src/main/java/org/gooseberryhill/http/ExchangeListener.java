package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Follows one exchange; called by one traffic thread.
 *
 * <p>Invariant: ends with exactly one of {@link #onEnd} and {@link #onFailure}, or with nothing after a cancel.
 */
public interface ExchangeListener {
    /** The answer's status and headers. */
    void onHead(int status, HttpHeaders headers);

    /** A part of the answer's body, in order. */
    void onBytes(byte[] bytes);

    /** The answer is whole: its announced length or its end mark was seen. */
    void onEnd();

    /** The exchange ended without the whole answer. */
    void onFailure(ExchangeFailure failure);
}
