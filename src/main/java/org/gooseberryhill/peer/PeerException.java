package org.gooseberryhill.peer;

/** A peer did not answer, or answered that it could not serve the message. */
public final class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** A failure with a short text for logs. */
    public PeerException(String message) {
        super(message, null, false, false);
    }
}
