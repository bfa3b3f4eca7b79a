package org.gooseberryhill.http;

/** Receives the body of one request; called by one event loop thread. */
public interface RequestBodyHandler {
    /** Receives the next part of the body. */
    void onBytes(byte[] bytes);

    /** Called when the body is complete. */
    void onEnd();

    /** Called if the caller's connection ended before the body was complete. */
    default void onAborted() {}
}
