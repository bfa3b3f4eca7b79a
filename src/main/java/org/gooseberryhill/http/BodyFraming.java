package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How the end of a response body is marked (RFC 9112, section 6.3). Immutable. */
public enum BodyFraming {
    /** The response announces the length of its body, or its status allows none. */
    LENGTH,
    /** The body is a sequence of chunks, the last of which marks its end. */
    CHUNKED,
    /** The body ends with its connection, so a truncated body may look complete. */
    CONNECTION_CLOSE;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Returns the framing of a response with the given status code and headers. */
    public static BodyFraming of(int status, HttpHeaders headers) {
        if (headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
            return CHUNKED;
        }
        boolean bodyless = status == NO_CONTENT || status == NOT_MODIFIED;
        return bodyless || headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION_CLOSE;
    }
}
