package org.gooseberryhill.decision.quota;

/**
 * What a host tells the others of one client account, for the time since its last message. Immutable.
 *
 * @param asked requests that it was asked to admit
 * @param admitted requests that it admitted, less those that did not run
 * @param tokens requests that may run at once by its count of all hosts' requests; negative while too many have run
 */
public record AccountActivity(int asked, int admitted, double tokens) {}
