package org.gooseberryhill.decision.batch;

/** Decides how many batch items an endpoint may run at the moment. */
public interface BatchSlotPolicy {
    /** Returns the maximum number of batch items; 0 or more. */
    int slots(SlotCase slotCase);
}
