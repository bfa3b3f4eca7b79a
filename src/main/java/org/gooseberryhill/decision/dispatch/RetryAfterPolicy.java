package org.gooseberryhill.decision.dispatch;

/** Decides when the caller of a request that is refused because of load should retry. */
public interface RetryAfterPolicy {
    /** Returns the time until a retry is likely to be accepted, in milliseconds. */
    long retryAfterMillis(OverloadCase overload);
}
