package org.gooseberryhill.http;

/** A request to an endpoint and its response, in progress. Thread-safe. */
public interface Exchange {
    /**
     * Cancels the exchange and closes its connection, so that a late response can't be taken for that of another request.
     */
    void cancel();

    /**
     * Pauses or resumes reading the response, as backpressure on an endpoint that sends faster than the caller reads.
     *
     * @param reading whether to read
     */
    void setAnswerReading(boolean reading);

    /**
     * Returns the {@link System#nanoTime} at which bytes were last received. Before the first bytes, this is when the request
     * was sent; before that, when the exchange was created.
     */
    long lastActivityNanos();

    /**
     * Fails the exchange as silent if {@link #lastActivityNanos} still has the given value after all bytes that have already arrived
     * are read. Does nothing before the request is sent, while reading is paused, or after the exchange has ended.
     */
    void failIfSilentSince(long sinceNanos);
}
