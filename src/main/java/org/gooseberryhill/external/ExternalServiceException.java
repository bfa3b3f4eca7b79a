package org.gooseberryhill.external;

/** Thrown when an external service does not answer or answers with an error. */
public final class ExternalServiceException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What is known about the effect of the call and the cause of the failure. */
    public enum Kind {
        /** The call had no effect; the same call may succeed later. */
        NOT_DONE,
        /** The service refused the call as invalid: it had no effect, and the same call will be refused again. */
        REJECTED,
        /** A write may have taken effect or may still do so. */
        UNKNOWN,
        /** The lease that the call refers to has expired or was revoked. */
        LEASE_GONE,
        /** The service no longer retains the requested changes. */
        HISTORY_GONE
    }

    private final Kind kind;

    /** Creates an exception of kind {@link Kind#UNKNOWN} with a short message for logs. */
    public ExternalServiceException(String message) {
        this(Kind.UNKNOWN, message);
    }

    /** Creates an exception with a short message for logs, without a stack trace. */
    public ExternalServiceException(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /** Returns what is known about the call. */
    public Kind kind() {
        return kind;
    }

    /** Returns the kind of a failure, searching its causes; {@link Kind#UNKNOWN} if none of them is of this type. */
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
