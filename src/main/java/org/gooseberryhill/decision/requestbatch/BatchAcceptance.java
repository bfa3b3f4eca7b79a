package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.contract.Outcome;

/**
 * Decides when a submitted batch is accepted: by its record in the key-value store, or by copies on the disks of other hosts
 * that outlast the loss of some of them. Not thread-safe.
 *
 * <p>Failure: the key-value store is out for seconds, and batches that come meanwhile are confirmed late or not at all, though
 * there are slots for their items. Invariants: a caller gets one answer; it is confirmed only when the record or enough copies
 * are durable; once a copy may be kept anywhere, or the record written, nobody says that the batch has not run.
 */
public final class BatchAcceptance {
    /**
     * The share of the target for a confirmation after which the key-value store counts as slow. It answers in a few
     * milliseconds or, in a slow spell, later than the target; what is left is for the disks of busy hosts.
     */
    private static final double COPIES_SHARE_OF_TARGET = 0.25;

    private final int copiesNeeded;
    private int copiesKept;
    private boolean copiesAsked;
    private boolean answered;

    /**
     * A submission that nothing is known of yet.
     *
     * @param copiesNeeded how many copies outlast all losses that are to be borne
     */
    public BatchAcceptance(int copiesNeeded) {
        this.copiesNeeded = copiesNeeded;
    }

    /** How long after its arrival copies of a submission are asked for, if the key-value store has not answered. */
    public static long copiesAfterMillis(long targetLatencyMillis) {
        return Math.round(COPIES_SHARE_OF_TARGET * targetLatencyMillis);
    }

    /** Whether the caller has its answer. */
    public boolean isAnswered() {
        return answered;
    }

    /** Whether some host may have a copy. */
    public boolean mayBeCopied() {
        return copiesAsked;
    }

    /** Copies are asked for now, if the hosts that may keep them suffice; returns whether they do. */
    public boolean askCopies(int hosts) {
        boolean suffice = !answered && hosts >= copiesNeeded;
        copiesAsked |= suffice;
        return suffice;
    }

    /** The key-value store has the record; returns whether the caller is to be answered now. */
    public boolean recorded() {
        return answer();
    }

    /** Another copy is durable; returns whether the caller is to be answered now. */
    public boolean copyKept() {
        copiesKept++;
        return copiesKept >= copiesNeeded && answer();
    }

    /**
     * The submission is given up; its caller is to be told the outcome.
     *
     * @param mayBeRecorded whether the record may be written, or may yet be
     */
    public Outcome giveUp(boolean mayBeRecorded) {
        answered = true;
        return mayBeRecorded || copiesAsked ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    }

    private boolean answer() {
        boolean first = !answered;
        answered = true;
        return first;
    }
}
