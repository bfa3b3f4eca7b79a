package org.gooseberryhill.http;

/**
 * Counts the responses that one exchange skips: interim responses and those to other requests. Used only on the connection's
 * event loop.
 *
 * <p>Guards against an endpoint that sends nothing else without end, which is neither silent nor held in memory.
 */
final class SkippedResponses {
    private static final int MAX_RESPONSES = 16;
    private static final int MAX_BYTES = 1024 * 1024;

    private int responses;
    private int bodyBytes;

    /** Counts the head of a response. */
    void addResponse() {
        responses++;
    }

    /** Counts a part of the body of a response. */
    void addBodyBytes(int bytes) {
        bodyBytes += bytes;
    }

    boolean tooMany() {
        return responses > MAX_RESPONSES || bodyBytes > MAX_BYTES;
    }
}
