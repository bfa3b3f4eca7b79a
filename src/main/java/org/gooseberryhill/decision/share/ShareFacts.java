package org.gooseberryhill.decision.share;

/**
 * Holds the figures by which a request of an account above its share was refused, for the log. Immutable.
 *
 * @param askedPerSecond requests that the account has sent of late, over all groups
 * @param placedPerSecond those of them that were placed
 * @param sharePerSecond the account's share of the requests that the service can take
 * @param freeSlots number of free slots of the group
 * @param keptSlots number of these that are kept for requests within their shares
 */
public record ShareFacts(
        double askedPerSecond, double placedPerSecond, double sharePerSecond, int freeSlots, int keptSlots) {}
