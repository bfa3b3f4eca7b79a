package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;

/** The fields that the lines of an event stream may bear (HTML, server-sent events). Stateless. */
final class EventStreamFields {
    private static final Set<String> NAMES = Set.of("data", "event", "id", "retry");

    private EventStreamFields() {}

    /** Returns whether the body of a response is an event stream. */
    static boolean isEventStream(HttpHeaders response) {
        return response.get(HttpHeaderNames.CONTENT_TYPE, "").startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString());
    }

    /** Returns whether all fields are those of events, so that a stream may contain their lines. */
    static boolean areEventFields(HttpHeaders fields) {
        return NAMES.containsAll(fields.names());
    }
}
