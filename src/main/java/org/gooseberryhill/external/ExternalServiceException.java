package org.gooseberryhill.external;

/** An external service did not answer, or answered with an error. */
public final class ExternalServiceException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is known of the call's effect and cause. */
    public enum Kind {
        /** Nothing was done, and the same call may succeed later. */
        NOT_DONE,
        /** A write may have taken effect, or may yet do so. */
        UNKNOWN,
        /** The lease that the call names has ended. */
        LEASE_GONE,
        /** The changes that the call asks for are no longer kept. */
        HISTORY_GONE
    }

    private final Kind kind;

    /** A failure after which a write may have taken effect, with a short text for logs. */
    public ExternalServiceException(String message) {
        this(Kind.UNKNOWN, message);
    }

    /** A failure with a short text for logs. */
    public ExternalServiceException(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /** What is known of the call. */
    public Kind kind() {
        return kind;
    }

    /** The kind of a failure that a future ended with, however it is wrapped. */
    public static Kind kindOf(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof ExternalServiceException external) {
                return external.kind;
            }
            cause = cause.getCause();
        }
        return Kind.UNKNOWN;
    }
}
