package org.gooseberryhill.account;

/**
 * How many requests of a client account may run, over all hosts together. Immutable.
 *
 * @param ratePerSecond requests a second; above 0
 * @param burst requests beyond the rate that may run at once; 0 or more
 */
public record AccountQuota(double ratePerSecond, double burst) {}
