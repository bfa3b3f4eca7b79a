package org.gooseberryhill.decision.membership;

/** What a host thinks of another. Immutable; a later constant overrides an earlier one of the same incarnation. */
public enum HostState {
    /** It answers. */
    ALIVE,
    /** It did not answer this host nor those who asked for it; it may still refute. */
    SUSPECT,
    /** It did not refute in time, or left as planned. */
    DEAD
}
