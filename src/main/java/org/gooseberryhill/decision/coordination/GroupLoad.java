package org.gooseberryhill.decision.coordination;

import org.gooseberryhill.directory.EndpointGroup;

/**
 * The load of a group of endpoints, as its coordinator tells the coordinators of the other groups. Immutable.
 *
 * @param group the group
 * @param slots number of slots of its usable endpoints
 * @param online number of online requests in flight there
 */
public record GroupLoad(EndpointGroup group, int slots, int online) {
    /** Returns the number of slots without online requests. */
    int freeSlots() {
        return Math.max(0, slots - online);
    }
}
