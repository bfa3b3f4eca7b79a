package org.gooseberryhill.decision.retry;

import org.gooseberryhill.contract.Outcome;

/**
 * How an attempt at an endpoint failed. Immutable.
 *
 * @param outcome what is known about its effect
 * @param cutInside whether the endpoint broke off while it had the request: a sign of a crash
 * @param detail a short text for logs
 */
public record AttemptFailure(Outcome outcome, boolean cutInside, String detail) {}
