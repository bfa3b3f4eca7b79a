package org.gooseberryhill.decision.coordination;

/** Baseline that lets items use every free slot. Stateless. */
public final class NoReserve implements SlotReserve {
    @Override
    public int reservedSlots(int slots, int online) {
        return 0;
    }
}
