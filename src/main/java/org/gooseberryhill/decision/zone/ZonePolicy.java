package org.gooseberryhill.decision.zone;

import java.util.Optional;
import org.gooseberryhill.directory.EndpointGroup;

/** Decides which group gets a request that finds no free slot in the group that was asked for it. */
public interface ZonePolicy {
    /** Returns the group that is to be asked instead; empty if the request stays. */
    Optional<EndpointGroup> chooseGroup(FullGroup full, RoomFinder room, long nowNanos);
}
