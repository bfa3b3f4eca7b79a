package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Decides by its headers whether a response belongs to the request in progress; called by one event loop thread.
 *
 * <p>Guards against a faulty server that sends a second, late response when the response to the next request on the same
 * connection is expected: the caller would receive the response to another request.
 */
@FunctionalInterface
public interface ResponseMatcher {
    /** Accepts every response. */
    ResponseMatcher NONE = headers -> true;

    /** Returns whether the response with these headers belongs to the request; any other response is skipped. */
    boolean matches(HttpHeaders headers);

    /** Returns whether the response with these headers states to which request it belongs. */
    default boolean statesRequest(HttpHeaders headers) {
        return false;
    }

    /** Returns the names of fields that a response bears at most once, in addition to those of HTTP. */
    default List<String> singleFields() {
        return List.of();
    }
}
