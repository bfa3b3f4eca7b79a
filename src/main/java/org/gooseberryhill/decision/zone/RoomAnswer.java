package org.gooseberryhill.decision.zone;

import java.util.List;

/**
 * The answer to a {@link RoomQuery}. Immutable.
 *
 * @param granted whether the zone takes requests, and sends none to the asking zone for as long as the grant lasts
 * @param rooms the room of each group of the zone that the answering host coordinates; empty if nothing is granted
 */
public record RoomAnswer(boolean granted, List<GroupRoom> rooms) {
    /** The answer of a host whose zone takes no requests. */
    public static final RoomAnswer DENIED = new RoomAnswer(false, List.of());
}
