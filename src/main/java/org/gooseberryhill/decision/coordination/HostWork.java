package org.gooseberryhill.decision.coordination;

import java.util.List;
import java.util.Map;
import org.gooseberryhill.directory.EndpointKey;

/**
 * All requests that a host has in flight at the endpoints of one coordinator. Immutable.
 *
 * @param lastReservation number of the coordinator's latest reservation that the host has received; 0 if none
 * @param online number of online requests by endpoint
 * @param items the runs of items
 */
public record HostWork(long lastReservation, Map<EndpointKey, Integer> online, List<ItemStart> items) {}
