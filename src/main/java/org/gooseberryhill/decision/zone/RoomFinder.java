package org.gooseberryhill.decision.zone;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.directory.EndpointGroup;

/** Finds a group with room by the loads that coordinators have told each other. */
@FunctionalInterface
public interface RoomFinder {
    /** Returns the group with the most room, and counts a request as sent there; empty if none has room. */
    Optional<EndpointGroup> take(List<EndpointGroup> candidates);
}
