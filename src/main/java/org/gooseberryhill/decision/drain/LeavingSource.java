package org.gooseberryhill.decision.drain;

/** Who says that an endpoint is leaving. Immutable. */
public enum LeavingSource {
    /** The platform's host list, which lags. */
    HOST_LIST,
    /** The endpoint's own status. */
    ENDPOINT,
    /** A steward or another peer. */
    PEER
}
