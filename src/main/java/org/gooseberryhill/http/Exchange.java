package org.gooseberryhill.http;

/** An exchange in progress. Thread-safe. */
public interface Exchange {
    /** Gives the exchange up: its connection closes, so a late answer can never meet another request. */
    void cancel();

    /** Stops or continues reading the answer, to hold a fast endpoint back for a slow caller. */
    void readAnswer(boolean reading);

    /** When the other side was heard last, or the request was sent, or the exchange began; by {@link System#nanoTime}. */
    long heardNanos();

    /**
     * Ends the exchange as failed by silence if {@link #heardNanos} still has this value once what has arrived is read. Does
     * nothing before the request is sent, while the answer is held back, and after the exchange's end.
     */
    void failIfSilentSince(long sinceNanos);
}
