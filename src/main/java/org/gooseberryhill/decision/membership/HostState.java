package org.gooseberryhill.decision.membership;

/** The state of a host in another host's view. Within one incarnation a later constant overrides an earlier one. */
public enum HostState {
    /** The host answers probes. */
    ALIVE,
    /** The host answered neither direct nor indirect probes; it may still refute the suspicion. */
    SUSPECT,
    /** The host did not refute the suspicion in time, or left in a planned stop. */
    DEAD
}
