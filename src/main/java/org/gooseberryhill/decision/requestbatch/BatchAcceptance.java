package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.contract.Outcome;

/**
 * Decides when a submitted batch is accepted: once its record is in the key-value store, or once enough other hosts
 * hold copies on disk to survive the loss of some of them. Not thread-safe.
 *
 * <p>Guards against submissions that are confirmed late or not at all, although slots for their items are free, because
 * the key-value store is unavailable for seconds.
 *
 * <p>Invariants: a caller gets exactly one answer; a submission is confirmed only when its record or enough copies are
 * durable; once a copy may exist on any host, or the record may be written, the caller is never told that the batch has
 * not run.
 */
public final class BatchAcceptance {
    /**
     * The share of the target latency of a confirmation after which the key-value store counts as slow. The store
     * answers either in a few milliseconds or, when it is slow, later than the target. The rest of the target is left
     * for disk writes on busy hosts.
     */
    private static final double COPIES_SHARE_OF_TARGET = 0.25;

    private final int copiesNeeded;
    private int durableCopies;
    private boolean copiesRequested;
    private boolean answered;

    /**
     * Creates the state of a submission without a record or copies.
     *
     * @param copiesNeeded how many copies survive all host losses that must be tolerated
     */
    public BatchAcceptance(int copiesNeeded) {
        this.copiesNeeded = copiesNeeded;
    }

    /**
     * Returns the time after the arrival of a submission at which copies of it are requested if the key-value store has
     * not answered yet.
     */
    public static long copiesAfterMillis(long targetLatencyMillis) {
        return Math.round(COPIES_SHARE_OF_TARGET * targetLatencyMillis);
    }

    /** Returns whether the caller has got its answer. */
    public boolean isAnswered() {
        return answered;
    }

    /** Returns whether some host may hold a copy. */
    public boolean mayHaveCopies() {
        return copiesRequested;
    }

    /**
     * Records that copies are requested now if the caller is unanswered and there are enough hosts to hold them.
     *
     * @param hosts the number of hosts that can hold a copy
     * @return whether the copies are to be requested
     */
    public boolean requestCopies(int hosts) {
        boolean shouldRequest = !answered && hosts >= copiesNeeded;
        copiesRequested |= shouldRequest;
        return shouldRequest;
    }

    /** Records that the key-value store has the record; returns whether the caller is to be answered now. */
    public boolean recorded() {
        return markAnswered();
    }

    /** Records that one more copy is durable; returns whether the caller is to be answered now. */
    public boolean copyStored() {
        durableCopies++;
        return durableCopies >= copiesNeeded && markAnswered();
    }

    /**
     * Gives up the submission and returns the outcome to tell its caller.
     *
     * @param mayBeRecorded whether the record may have been written or may still be written
     */
    public Outcome giveUp(boolean mayBeRecorded) {
        answered = true;
        return mayBeRecorded || copiesRequested ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    }

    private boolean markAnswered() {
        boolean newlyAnswered = !answered;
        answered = true;
        return newlyAnswered;
    }
}
