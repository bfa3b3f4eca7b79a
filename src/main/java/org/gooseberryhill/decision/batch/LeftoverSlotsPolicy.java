package org.gooseberryhill.decision.batch;

/**
 * Batch fills what online leaves, less a reserve for the first requests of a burst. Stateless.
 *
 * <p>Property: reserve, as a share of the slots; at least one slot is kept free.
 */
public final class LeftoverSlotsPolicy implements BatchSlotPolicy {
    private static final int PERCENT = 100;

    private final double reserveShare;

    /** A policy with a reserve, such as 0.125. */
    public LeftoverSlotsPolicy(double reserveShare) {
        this.reserveShare = reserveShare;
    }

    @Override
    public int slots(SlotCase slotCase) {
        int reserve = Math.max(1, (int) Math.floor(slotCase.slots() * reserveShare));
        // The reserve is for bursts from nothing: online requests that are there already use it first.
        int left = slotCase.slots() - Math.max(slotCase.online(), 0) - reserve;
        int weighted = Math.max(0, left) * slotCase.weightPercent() / PERCENT;
        return Math.min(weighted, slotCase.tailCap());
    }
}
