package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer. Immutable but for its arrays, which are not changed after creation.
 *
 * @param status the status
 * @param headers the headers
 * @param body the whole body
 */
public record HttpResult(int status, HttpHeaders headers, byte[] body) {
    private static final int FIRST_SUCCESS = 200;
    private static final int AFTER_SUCCESS = 300;

    /** Whether the status is one of success. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < AFTER_SUCCESS;
    }
}
