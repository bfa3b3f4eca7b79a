package org.gooseberryhill.decision.memory;

/** How full the memory for slow readers is. */
public enum HeldBytesLevel {
    /** Nothing is refused or closed. */
    NORMAL,
    /** New requests that would be held are refused. */
    REFUSING,
    /** Besides, bodies that are being received are refused, and the connections of slow readers are closed. */
    CLOSING
}
