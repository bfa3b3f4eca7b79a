package org.gooseberryhill.decision.zone;

/**
 * A coordinator's question whether the groups that another host coordinates take requests of another zone. Immutable.
 *
 * @param pair the direction of the requests
 * @param load the load of the zone that asks
 */
public record RoomQuery(ZonePair pair, ZoneLoad load) {}
