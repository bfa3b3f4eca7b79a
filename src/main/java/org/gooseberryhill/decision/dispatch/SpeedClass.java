package org.gooseberryhill.decision.dispatch;

/** How fast an endpoint is compared with the others of its service. Immutable. */
public enum SpeedClass {
    /** Requests run clearly longer there than the mean. */
    SLOW,
    /** Requests run about as long there as the mean. */
    USUAL,
    /** Requests run clearly shorter there than the mean. */
    FAST
}
