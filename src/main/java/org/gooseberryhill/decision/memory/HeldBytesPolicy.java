package org.gooseberryhill.decision.memory;

import java.util.Collection;
import java.util.List;

/**
 * Decides what a process refuses and closes because of the bytes that it holds for slow readers. Implementations are
 * immutable and thread-safe.
 *
 * <p>Load pattern: callers that read large answers slowly or not at all, callers that send many large bodies at once, and
 * endpoints that read large bodies slowly, while other callers are served at normal speed.
 */
public interface HeldBytesPolicy {
    /** Returns the maximum number of bytes that the process holds; {@link Long#MAX_VALUE} if there is no bound. */
    long boundBytes();

    /** Returns the maximum number of unsent bytes of one connection, at which it is closed. */
    int maxUnsentBytesPerConnection();

    /** Returns the level at the given number of held bytes. */
    HeldBytesLevel level(long heldBytes);

    /** Returns whether a request is refused before its body is received. */
    boolean refuses(long heldBytes, RequestDemand demand);

    /** Returns the time after which a refused caller is likely to be served, in milliseconds. */
    long retryAfterMillis();

    /** Returns how much of an answer is collected before it is relayed as it arrives, in bytes. */
    int maxBufferedAnswerBytes(long heldBytes);

    /** Returns the connections to close at once, in this order. */
    <R extends SlowReader> List<R> connectionsToClose(long heldBytes, Collection<R> readers, long nowNanos);
}
