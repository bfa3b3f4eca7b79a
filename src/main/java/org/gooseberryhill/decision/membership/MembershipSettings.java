package org.gooseberryhill.decision.membership;

/**
 * How fast failures are found, and at which cost. Immutable.
 *
 * @param heartbeatPeriodMillis one peer is probed each period, so the cost does not grow with the fleet
 * @param replyTimeoutMillis how long a direct probe may take before others are asked to probe
 * @param suspicionMillis how long a suspect may refute before it counts as dead
 * @param indirectProbes how many others are asked
 * @param rumorsPerMessage how many rumors ride on one heartbeat
 */
public record MembershipSettings(
        long heartbeatPeriodMillis,
        long replyTimeoutMillis,
        long suspicionMillis,
        int indirectProbes,
        int rumorsPerMessage) {
    /** The defaults that docs/OPERATIONS.md names. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(400, 400, 2500, 2, 8);
}
