package org.gooseberryhill.decision.dispatch;

/** Decides how long a request may wait for a slot; a request with a longer forecast wait is refused at once. */
public interface OverloadPolicy {
    /** Returns the longest forecast wait for a slot with which a request is still accepted, in milliseconds. */
    double longestWaitMillis(OverloadCase overload);

    /**
     * Returns the longest forecast wait for a request that waits behind few others, however long the slots have been full, in
     * milliseconds.
     */
    default double longestTransientWaitMillis(OverloadCase overload) {
        return longestWaitMillis(overload);
    }
}
