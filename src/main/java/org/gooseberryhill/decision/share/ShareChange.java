package org.gooseberryhill.decision.share;

/**
 * The start or end of a time in which accounts are above their shares of a service, for the log. Immutable.
 *
 * @param service the service
 * @param begun whether the time has begun; if not, it has ended
 * @param account the account that is furthest above its share; the empty name stands for requests without an account
 * @param use its use over all groups
 * @param sharePerSecond its share
 */
public record ShareChange(String service, boolean begun, String account, AccountUse use, double sharePerSecond) {}
