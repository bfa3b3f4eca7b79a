package org.gooseberryhill.http;

/** Carries an {@link ExchangeFailure} through a future. */
public final class ExchangeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ExchangeFailure failure;

    /** Wraps a failure, without a stack trace. */
    public ExchangeException(ExchangeFailure failure) {
        super(failure.kind() + ": " + failure.detail(), null, false, false);
        this.failure = failure;
    }

    /** Returns the failure. */
    public ExchangeFailure failure() {
        return failure;
    }
}
