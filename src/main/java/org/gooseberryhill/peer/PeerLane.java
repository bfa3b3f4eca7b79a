package org.gooseberryhill.peer;

/** Which connection a message takes: a large segment must not hold up heartbeats behind it. Immutable. */
public enum PeerLane {
    /** Heartbeats, load, configuration, items. */
    CONTROL,
    /** Segments. */
    BULK
}
