package org.gooseberryhill.peer;

/** Selects the connection of a message, so that a large segment does not delay heartbeats behind it. */
public enum PeerLane {
    /** Heartbeats, load reports, configuration and items. */
    CONTROL,
    /** Segments. */
    BULK
}
