package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides by its headers whether a response belongs to the request in progress; called by one event loop thread.
 *
 * <p>Guards against a faulty server that sends a second, late response when the response to the next request on the same
 * connection is expected: the caller would receive the response to another request, or a request that runs would be taken for
 * one that has not run.
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

    /** Returns whether a response promises that its request has not run, so that the request may be sent again. */
    default boolean promisesNotRun(int status, HttpHeaders headers) {
        return false;
    }

    /**
     * Returns whether the headers of a response inside the body of another one prove that the endpoint sent it; if they do not, a sound
     * body may quote it.
     *
     * @param carriedIds the ids of the requests that the connection has carried of late
     */
    default boolean provesSecondResponse(HttpHeaders headers, Collection<String> carriedIds) {
        return statesRequest(headers);
    }

    /** Returns the id that responses state; empty if they need not state any. */
    default Optional<String> requestId() {
        return Optional.empty();
    }

    /** Returns the names of fields that a response bears at most once, in addition to those of HTTP. */
    default List<String> singleFields() {
        return List.of();
    }
}
