package org.gooseberryhill.decision.job;

import java.util.Map;

/**
 * What a dispatch order may look at besides the jobs. Immutable.
 *
 * @param nowMillis the wall-clock time, in epoch milliseconds, since due times are given in it
 * @param runningByCaller items in flight by caller
 */
public record DispatchContext(long nowMillis, Map<String, Integer> runningByCaller) {}
