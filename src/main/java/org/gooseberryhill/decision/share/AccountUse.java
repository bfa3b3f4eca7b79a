package org.gooseberryhill.decision.share;

/**
 * The recent requests of a client account at one coordinator. Immutable.
 *
 * @param askedPerSecond requests that arrived, over about the last second
 * @param placedPerSecond requests that were placed, over about the last second
 * @param usualPerSecond requests that arrived and count as usual, over about the last minute
 */
public record AccountUse(double askedPerSecond, double placedPerSecond, double usualPerSecond) {
    static final AccountUse NONE = new AccountUse(0, 0, 0);

    AccountUse plus(AccountUse other) {
        return new AccountUse(
                askedPerSecond + other.askedPerSecond,
                placedPerSecond + other.placedPerSecond,
                usualPerSecond + other.usualPerSecond);
    }

    /** Returns this use with the recent requests reduced to a part; what is usual stays. */
    AccountUse decayed(double part) {
        return new AccountUse(part * askedPerSecond, part * placedPerSecond, usualPerSecond);
    }
}
