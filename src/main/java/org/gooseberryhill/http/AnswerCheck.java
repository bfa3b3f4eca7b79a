package org.gooseberryhill.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Tells whether the head of an answer belongs to the request that waits for one; called by one traffic thread.
 *
 * <p>Failure: a faulty server sends a second answer late, at the point where the answer to the next request of the kept
 * connection is expected, and its caller would get somebody else's answer.
 */
@FunctionalInterface
public interface AnswerCheck {
    /** Takes every answer for the request's own. */
    AnswerCheck NONE = headers -> true;

    /** Whether the answer with these headers belongs to the request; one that does not is passed over. */
    boolean isOwn(HttpHeaders headers);
}
