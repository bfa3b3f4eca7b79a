package org.gooseberryhill.timeline;

/** The importance of an event, which determines the rate limit for its kind. Immutable. */
public enum Importance {
    /**
     * A request, item or call failed or was refused; kept in preference to routine events, since each must be
     * explainable.
     */
    FAILURE,
    /** The state known to the process changed; infrequent. */
    STATE,
    /** An operation succeeded; dropped first. */
    ROUTINE
}
