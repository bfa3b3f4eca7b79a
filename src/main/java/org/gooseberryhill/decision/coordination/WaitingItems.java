package org.gooseberryhill.decision.coordination;

import java.util.List;

/**
 * The items of a host that wait for a slot of a service. Immutable.
 *
 * @param service the service
 * @param lastReservation number of the coordinator's latest reservation that the host had received; 0 if none
 * @param timings the times of the items, in the order in which the host would start them
 */
public record WaitingItems(String service, long lastReservation, List<ItemTiming> timings) {
    /** Maximum number of items that a host announces; more follow as these start. */
    public static final int MAX_ANNOUNCED = 64;
}
