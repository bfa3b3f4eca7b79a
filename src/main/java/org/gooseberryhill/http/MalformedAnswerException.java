package org.gooseberryhill.http;

/**
 * Thrown by a listener to end an exchange whose response can't be an answer, such as one that exceeds a limit. Its connection
 * is closed, and the listener is told of the failure like of any other.
 */
public final class MalformedAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a short message for logs, without a stack trace. */
    public MalformedAnswerException(String message) {
        super(message, null, false, false);
    }
}
