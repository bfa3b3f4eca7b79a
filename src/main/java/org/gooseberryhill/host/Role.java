package org.gooseberryhill.host;

/** What a process of the system does. Immutable. */
public enum Role {
    /** Takes callers' requests and routes online work. */
    ENTRY,
    /** Sends batch items and model orders, owns jobs. */
    STEWARD,
    /** Keeps segments on its disk. */
    STORE,
    /** Routes requests by host and path, takes request batches in and runs them. */
    GATEWAY
}
