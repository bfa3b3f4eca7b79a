package org.gooseberryhill.decision.replay;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.gooseberryhill.decision.zone.AnyZone;
import org.gooseberryhill.decision.zone.CrossingCost;
import org.gooseberryhill.decision.zone.FullGroup;
import org.gooseberryhill.decision.zone.LeaveWhenItPays;
import org.gooseberryhill.decision.zone.RoomFinder;
import org.gooseberryhill.decision.zone.ZonePolicy;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;

/** The ways to choose a zone that replays compare. */
enum ReplayZonePolicy {
    /** Groups span zones, and a full group sends requests to any other: the way without the decision. */
    ANY_ZONE,

    /** Groups follow the zones; a full zone sends requests to any group with room, whatever that costs. */
    OWN_ZONE_UNTIL_FULL,

    /** The product's decision. */
    WHEN_IT_PAYS;

    /** The product's default price. */
    private static final long PRICE_MILLIS = 5;

    Function<Collection<EndpointEntry>, EndpointGroups> partition() {
        return this == ANY_ZONE ? EndpointGroups::spanningZones : EndpointGroups::of;
    }

    ZonePolicy create() {
        return switch (this) {
            case ANY_ZONE -> new AnyZone();
            case OWN_ZONE_UNTIL_FULL -> ReplayZonePolicy::ownZoneUntilFull;
            case WHEN_IT_PAYS -> new LeaveWhenItPays(new CrossingCost(() -> PRICE_MILLIS));
        };
    }

    private static Optional<EndpointGroup> ownZoneUntilFull(FullGroup full, RoomFinder room, long nowNanos) {
        String service = full.group().service();
        return full.groups()
                .zoneOf(full.group())
                .flatMap(zone -> room.take(full.groups().inZone(service, zone)))
                .or(() -> room.take(full.groups().of(service)));
    }
}
