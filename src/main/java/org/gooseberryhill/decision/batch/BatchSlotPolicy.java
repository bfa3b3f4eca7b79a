package org.gooseberryhill.decision.batch;

/** Decides how many batch items an endpoint may run now. */
public interface BatchSlotPolicy {
    /** The number of batch items; 0 or more. */
    int slots(SlotCase slotCase);
}
