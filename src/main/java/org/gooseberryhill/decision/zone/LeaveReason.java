package org.gooseberryhill.decision.zone;

/** Why a coordinator sends a request to another zone. */
public enum LeaveReason {
    /** The zone has endpoints, but the request would wait there for longer than the crossing costs. */
    WAIT_EXCEEDS_COST,

    /** No endpoint of the group can be used. */
    NO_USABLE_ENDPOINT
}
