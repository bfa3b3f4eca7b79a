package org.gooseberryhill.decision.coordination;

/** Decides how many slots of a group stay free for the next online requests when items of batches start. */
public interface SlotReserve {
    /**
     * Returns the number of slots to leave free.
     *
     * @param slots number of slots of the usable endpoints of the group
     * @param online number of online requests in flight there
     */
    int reservedSlots(int slots, int online);
}
