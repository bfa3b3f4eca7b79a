package org.gooseberryhill.decision.memory;

import java.util.Optional;

/** Derives the bound of the held bytes from the memory limits of a process. Stateless. */
public final class HeldBytesBound {
    /** Resident memory of a gateway without load is about 70 MB; classes and code make up most of it, on any heap. */
    private static final long UNLOADED_BYTES = 70L * 1024 * 1024;

    /**
     * The other half is the margin: a body is copied when it is complete, a heap needs room to be collected, and other
     * requests need memory as well.
     */
    private static final int MARGIN_DIVISOR = 2;

    /** A few large bodies and answers must fit on the smallest hosts. */
    private static final long MIN_BOUND_BYTES = 16L * 1024 * 1024;

    private HeldBytesBound() {}

    /**
     * Returns the policy of a process.
     *
     * @param memoryLimitBytes the memory limit of the process, if it is known
     * @param maxHeapBytes the maximum heap size; {@link Long#MAX_VALUE} if there is none
     */
    public static HeldBytesPolicy policy(Optional<Long> memoryLimitBytes, long maxHeapBytes) {
        long smallerBytes = Math.min(memoryLimitBytes.orElse(Long.MAX_VALUE), maxHeapBytes);
        if (smallerBytes == Long.MAX_VALUE) {
            return new UnboundedHeldBytes();
        }
        long leftBytes = (smallerBytes - UNLOADED_BYTES) / MARGIN_DIVISOR;
        return new BoundedHeldBytes(Math.max(MIN_BOUND_BYTES, leftBytes));
    }
}
