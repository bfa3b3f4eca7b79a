package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.stream.Stream;

/** Copies the headers of forwarded messages without the hop-by-hop headers (RFC 9110, section 7.6.1). Stateless. */
public final class ForwardedHeaders {
    private static final List<AsciiString> HOP_BY_HOP_HEADERS = Stream.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect")
            .map(AsciiString::cached)
            .toList();

    private ForwardedHeaders() {}

    /** Returns the request headers to send to an endpoint, without {@code Content-Length}: the body is framed anew. */
    public static HttpHeaders ofRequest(HttpHeaders headers) {
        HttpHeaders copy = copy(headers);
        copy.remove(HttpHeaderNames.CONTENT_LENGTH);
        return copy;
    }

    /** Returns the response headers to send to a caller; {@code Content-Length} is kept. */
    public static HttpHeaders ofAnswer(HttpHeaders headers) {
        return copy(headers);
    }

    private static HttpHeaders copy(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                copy.remove(name.strip());
            }
        }
        for (AsciiString name : HOP_BY_HOP_HEADERS) {
            copy.remove(name);
        }
        return copy;
    }
}
