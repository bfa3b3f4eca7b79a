package org.gooseberryhill.decision.batch;

/** The baseline: batch fills a fixed share of the slots whatever online does. Stateless. */
public final class FixedSlotsPolicy implements BatchSlotPolicy {
    private static final int PERCENT = 100;

    @Override
    public int slots(SlotCase slotCase) {
        return slotCase.slots() * slotCase.weightPercent() / PERCENT;
    }
}
