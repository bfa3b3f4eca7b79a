package org.gooseberryhill.decision.batch;

/** The baseline: batch fills all slots whatever online does. Stateless. */
public final class FixedSlotsPolicy implements BatchSlotPolicy {
    @Override
    public int slots(SlotCase slotCase) {
        return slotCase.slots();
    }
}
