package org.gooseberryhill.decision.online;

import org.gooseberryhill.contract.Fingerprint;

/**
 * What is known of an online request when it arrives. Immutable.
 *
 * @param id names the request in logs and on the time line
 * @param caller the caller's name
 * @param service the service that answers it
 * @param fingerprint equal for equal requests
 * @param prefixHash equal for prompts with the same beginning; 0 if that means nothing
 * @param idempotent whether it may run more than once
 * @param deadlineNanos when the caller stops waiting
 */
public record OnlineIntake(
        String id,
        String caller,
        String service,
        Fingerprint fingerprint,
        long prefixHash,
        boolean idempotent,
        long deadlineNanos) {}
