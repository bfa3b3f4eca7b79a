package org.gooseberryhill.host;

/** The role of a process. Immutable. */
public enum Role {
    /** Accepts requests from callers and routes online requests. */
    ENTRY,
    /** Owns jobs, and sends batch items and model orders to endpoints. */
    STEWARD,
    /** Stores segments on its disk. */
    STORE,
    /** Routes requests by host and path; accepts and runs request batches. */
    GATEWAY
}
