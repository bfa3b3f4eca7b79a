package org.gooseberryhill.decision.dispatch;

import java.util.Optional;

/**
 * The answer to whether the quota of a client account allows a request to run. Immutable.
 *
 * @param retryAfterMillis when the caller of a request that may not run should retry; empty if it may run, and was counted
 */
public record Admission(Optional<Long> retryAfterMillis) {}
