package org.gooseberryhill.peer;

/** Thrown if peers can't be reached, or reply that they could not process a message. Has no stack trace. */
public final class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a short message for logs. */
    public PeerException(String message) {
        super(message, null, false, false);
    }
}
