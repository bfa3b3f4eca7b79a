package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response. Immutable, provided that the headers and the array are not modified after creation.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the complete body
 */
public record HttpResult(int status, HttpHeaders headers, byte[] body) {
    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int FIRST_REDIRECTION_STATUS = 300;

    /** Returns whether the status code is in the range 200 to 299. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;
    }
}
