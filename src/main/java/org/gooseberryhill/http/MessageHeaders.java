package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/** Adds headers to messages. Stateless. */
final class MessageHeaders {
    private MessageHeaders() {}

    /**
     * Adds all headers. Those in a Netty {@link HttpHeaders} object are not validated again, since that costs more than
     * copying them.
     */
    static void addAll(HttpHeaders target, Iterable<Map.Entry<String, String>> headers) {
        if (headers instanceof HttpHeaders nettyHeaders) {
            target.add(nettyHeaders);
            return;
        }
        headers.forEach(header -> target.add(header.getKey(), header.getValue()));
    }
}
