package org.gooseberryhill.decision.online;

import org.gooseberryhill.contract.Fingerprint;

/**
 * The properties of an online request that are known on arrival. Immutable.
 *
 * @param id identifies the request in logs and in timeline events
 * @param caller the name of the caller
 * @param service the name of the requested service
 * @param fingerprint equal for equal requests
 * @param prefixHash equal for prompts with the same prefix; 0 if the request has no prefix to match
 * @param idempotent whether the request may run more than once
 * @param deadlineNanos the time at which the caller stops waiting, in nanoseconds
 */
public record OnlineRequestInfo(
        String id,
        String caller,
        String service,
        Fingerprint fingerprint,
        long prefixHash,
        boolean idempotent,
        long deadlineNanos) {}
