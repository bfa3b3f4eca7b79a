package org.gooseberryhill.decision.dispatch;

/**
 * What matters for turning a request away. Immutable.
 *
 * @param waitMillis the forecast wait for a slot where it would be placed
 * @param targetLatencyMillis within which its answer is on time
 * @param leftMillis how long until its deadline
 */
public record OverloadCase(double waitMillis, long targetLatencyMillis, long leftMillis) {}
