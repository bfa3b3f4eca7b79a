package org.gooseberryhill.peer;

/** Thrown if a peer can't be reached, or replies that it could not process a message. Has no stack trace. */
public final class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a short message for logs. */
    public PeerException(String message) {
        super(message, null, false, false);
    }
}
