package org.gooseberryhill.timeline;

/** Which events are kept when there are more of them than may be written. Immutable. */
public enum Importance {
    /** A request, item or call failed, or was refused: kept before all others, since each has to be explained. */
    FAILURE,
    /** What the process believes has changed; seldom by itself. */
    STATE,
    /** All went as it should; left out first. */
    ROUTINE
}
