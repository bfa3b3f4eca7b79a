package org.gooseberryhill.decision.batch;

/** Gives batch a fixed share of the slots regardless of online load; the baseline for comparisons. Stateless. */
public final class FixedSlotsPolicy implements BatchSlotPolicy {
    private static final int PERCENT = 100;

    @Override
    public int slots(SlotCase slotCase) {
        return slotCase.slots() * slotCase.weightPercent() / PERCENT;
    }
}
