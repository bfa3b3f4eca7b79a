package org.gooseberryhill.http;

/** An exchange in progress. Thread-safe. */
public interface Exchange {
    /** Gives the exchange up: its connection closes, so a late answer can never meet another request. */
    void cancel();

    /** Stops or continues reading the answer, to hold a fast endpoint back for a slow caller. */
    void readAnswer(boolean reading);
}
