package org.gooseberryhill.platform;

/** A service of the platform did not answer, or answered with an error; a write may have taken effect. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** A failure with a short text for logs. */
    public PlatformException(String message) {
        super(message, null, false, false);
    }
}
