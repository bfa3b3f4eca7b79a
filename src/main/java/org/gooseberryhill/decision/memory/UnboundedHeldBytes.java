package org.gooseberryhill.decision.memory;

import java.util.Collection;
import java.util.List;

/**
 * The baseline: bounds the unsent bytes of each connection only. Stateless.
 *
 * <p>Load pattern: few slow readers, on hosts whose memory limit is not known.
 */
public final class UnboundedHeldBytes implements HeldBytesPolicy {
    static final int MAX_UNSENT_BYTES_PER_CONNECTION = 4 * 1024 * 1024;

    /** After a larger part of an answer has been relayed, its caller can't be sent the answer of another attempt. */
    static final int MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024;

    @Override
    public long boundBytes() {
        return Long.MAX_VALUE;
    }

    @Override
    public int maxUnsentBytesPerConnection() {
        return MAX_UNSENT_BYTES_PER_CONNECTION;
    }

    @Override
    public HeldBytesLevel level(long heldBytes) {
        return HeldBytesLevel.NORMAL;
    }

    @Override
    public boolean refuses(long heldBytes, RequestDemand demand) {
        return false;
    }

    @Override
    public long retryAfterMillis() {
        return 0;
    }

    @Override
    public int maxBufferedAnswerBytes(long heldBytes) {
        return MAX_BUFFERED_ANSWER_BYTES;
    }

    @Override
    public <R extends SlowReader> List<R> connectionsToClose(long heldBytes, Collection<R> readers, long nowNanos) {
        return List.of();
    }
}
