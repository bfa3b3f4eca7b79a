package org.gooseberryhill.decision.drain;

/** The sources that report an endpoint as leaving. */
public enum LeavingSource {
    /** The platform's host list, which lags. */
    HOST_LIST,
    /** The status that the endpoint itself reports. */
    ENDPOINT,
    /** Another host of the system, such as a steward. */
    PEER
}
