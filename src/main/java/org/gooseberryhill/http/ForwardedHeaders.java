package org.gooseberryhill.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies the headers that concern a message and not one connection (RFC 9110, section 7.6.1). Stateless. */
public final class ForwardedHeaders {
    private static final Set<String> OF_ONE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private ForwardedHeaders() {}

    /** The headers of a request that an endpoint gets; its length is left out, since the body is framed anew. */
    public static HttpHeaders ofRequest(HttpHeaders headers) {
        HttpHeaders copy = copy(headers);
        copy.remove(HttpHeaderNames.CONTENT_LENGTH);
        return copy;
    }

    /** The headers of an answer that a caller gets; its length is kept. */
    public static HttpHeaders ofAnswer(HttpHeaders headers) {
        return copy(headers);
    }

    private static HttpHeaders copy(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!OF_ONE_CONNECTION.contains(name) && !named.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
