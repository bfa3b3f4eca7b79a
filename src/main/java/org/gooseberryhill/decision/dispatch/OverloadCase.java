package org.gooseberryhill.decision.dispatch;

/**
 * Input for the decisions whether to refuse a request because of load and when its caller should retry. Immutable.
 *
 * @param service the service that the request is for
 * @param waitMillis the forecast wait for a slot at the endpoint where it would be placed
 * @param targetLatencyMillis latency within which its answer is on time
 * @param remainingMillis time until its deadline
 * @param slots number of slots of the usable endpoints of its service
 * @param meanRunMillis the mean time that a request of the service holds its slot
 * @param hostCount number of hosts that share the slots
 * @param nowNanos the current time
 */
public record OverloadCase(
        String service,
        double waitMillis,
        long targetLatencyMillis,
        long remainingMillis,
        int slots,
        double meanRunMillis,
        int hostCount,
        long nowNanos) {}
