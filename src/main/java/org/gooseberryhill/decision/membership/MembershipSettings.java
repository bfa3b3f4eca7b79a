package org.gooseberryhill.decision.membership;

/**
 * Settings of the failure detector, which trade detection time for message load. Immutable.
 *
 * @param heartbeatPeriodMillis probe period; one peer is probed each period, so the cost does not grow with the fleet
 * @param replyTimeoutMillis how long a direct probe may take before other hosts are asked to probe
 * @param suspicionMillis how long a suspect, a host that may be dead since it did not answer, has to refute the
 *     suspicion before it counts as dead
 * @param indirectProbes how many other hosts are asked to probe
 * @param rumorsPerMessage how many queued rumors a heartbeat carries at most
 */
public record MembershipSettings(
        long heartbeatPeriodMillis,
        long replyTimeoutMillis,
        long suspicionMillis,
        int indirectProbes,
        int rumorsPerMessage) {
    /** The defaults documented in docs/OPERATIONS.md. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(400, 400, 2500, 2, 8);
}
