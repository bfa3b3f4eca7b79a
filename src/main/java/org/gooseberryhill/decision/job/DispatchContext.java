package org.gooseberryhill.decision.job;

import java.util.Map;

/**
 * The information besides the jobs that a {@link DispatchOrder} decides on. Immutable.
 *
 * @param nowMillis the wall-clock time in epoch milliseconds, as due times are
 * @param runningByCaller the number of items in flight by caller
 */
public record DispatchContext(long nowMillis, Map<String, Integer> runningByCaller) {}
