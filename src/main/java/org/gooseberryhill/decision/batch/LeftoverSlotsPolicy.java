package org.gooseberryhill.decision.batch;

/**
 * Gives batch the slots that online requests leave free, minus a reserve for the first requests of a burst. Stateless.
 *
 * <p>The reserve is a share of the slots, rounded down, but at least one slot.
 */
public final class LeftoverSlotsPolicy implements BatchSlotPolicy {
    private static final int PERCENT = 100;

    private final double reserveShare;

    /**
     * Creates a policy.
     *
     * @param reserveShare the reserve as a share of the slots, such as 0.125
     */
    public LeftoverSlotsPolicy(double reserveShare) {
        this.reserveShare = reserveShare;
    }

    @Override
    public int slots(SlotCase slotCase) {
        int reserve = Math.max(1, (int) Math.floor(slotCase.slots() * reserveShare));
        // Online requests in flight do not use up the reserve.
        int leftoverSlots = slotCase.slots() - Math.max(slotCase.online(), 0) - reserve;
        int weightedSlots = Math.max(0, leftoverSlots) * slotCase.weightPercent() / PERCENT;
        return Math.min(weightedSlots, slotCase.tailLatencyCap());
    }
}
