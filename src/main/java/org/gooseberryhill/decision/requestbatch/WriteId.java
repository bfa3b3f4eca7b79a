package org.gooseberryhill.decision.requestbatch;

/**
 * Identifies one write of a batch record, however often it is sent; no other write of any process has the same id. Immutable.
 *
 * @param value the process that writes and the number of its write
 */
public record WriteId(String value) {}
