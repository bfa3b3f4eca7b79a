package org.gooseberryhill.decision.retry;

import org.gooseberryhill.contract.Outcome;

/**
 * Describes why an attempt at an endpoint failed. Immutable.
 *
 * @param outcome whether the request may have run in this attempt
 * @param crashSuspected whether the connection was lost while the endpoint had the request, which suggests a crash
 * @param detail a short description for logs
 */
public record AttemptFailure(Outcome outcome, boolean crashSuspected, String detail) {}
