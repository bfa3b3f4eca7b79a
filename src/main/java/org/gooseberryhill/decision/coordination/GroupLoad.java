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
    private static final int HASH_FACTOR = 31;

    /** Returns the number of slots without online requests. */
    int freeSlots() {
        return Math.max(0, slots - online);
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof GroupLoad that
                && slots == that.slots
                && online == that.online
                && group.equals(that.group);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * (HASH_FACTOR * group.hashCode() + slots) + online;
    }
}
