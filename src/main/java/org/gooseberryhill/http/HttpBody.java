package org.gooseberryhill.http;

/** Takes in the body of one request; called by one traffic thread. */
public interface HttpBody {
    /** A part of the body, in order. */
    void onBytes(byte[] bytes);

    /** The body is whole. */
    void onEnd();

    /** The caller's connection ended before the body was whole. */
    default void onAborted() {}
}
