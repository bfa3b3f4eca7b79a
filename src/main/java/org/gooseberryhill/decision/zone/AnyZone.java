package org.gooseberryhill.decision.zone;

import java.util.Optional;
import org.gooseberryhill.directory.EndpointGroup;

/** Sends a request that finds no free slot to the group with the most room, whatever its zone. Stateless. */
public final class AnyZone implements ZonePolicy {
    @Override
    public Optional<EndpointGroup> chooseGroup(FullGroup full, RoomFinder room, long nowNanos) {
        return full.isUsable() ? room.take(full.groups().of(full.group().service())) : Optional.empty();
    }
}
