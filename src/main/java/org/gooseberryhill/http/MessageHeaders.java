package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/** Puts headers into messages. Stateless. */
final class MessageHeaders {
    private MessageHeaders() {}

    /** Adds all headers; those that are the codec's own already are not checked again, which costs more than the copy. */
    static void addAll(HttpHeaders target, Iterable<Map.Entry<String, String>> headers) {
        if (headers instanceof HttpHeaders checked) {
            target.add(checked);
            return;
        }
        headers.forEach(header -> target.add(header.getKey(), header.getValue()));
    }
}
