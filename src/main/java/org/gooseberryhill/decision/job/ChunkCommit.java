package org.gooseberryhill.decision.job;

import java.util.Optional;

/**
 * The state machine of one chunk's commit: decides the next step after each answer of the key-value store. Not
 * thread-safe.
 *
 * <p>Invariant: a chunk has at most one record, which never changes. It is created only while the job's record is the
 * one that the owner read (a cancellation changes it), the owner's claim exists (an expired lease deletes it) and the
 * chunk has no record. Retrying after a lost answer is therefore safe.
 */
public final class ChunkCommit {
    /** The next step of the caller. */
    public enum Step {
        /** Create the chunk's record under the conditions that {@link ChunkCommit} names. */
        WRITE,
        /** Read the chunk's record. */
        READ,
        /** Done: the chunk has its record, so its items are complete with the results that the record names. */
        COMMITTED,
        /** Done: the job was cancelled or has another owner; this host has to stop it. */
        REFUSED
    }

    private boolean uncertain;

    /** Returns the first step, to be taken once the results are on disk in two availability zones. */
    public Step begin() {
        return Step.WRITE;
    }

    /** Returns the step after the write was answered. */
    public Step written(boolean succeeded) {
        return succeeded ? Step.COMMITTED : Step.READ;
    }

    /** Returns the step after the chunk's record was read. */
    public Step read(Optional<ChunkRecord> found) {
        if (found.isPresent()) {
            // The record is this owner's or an earlier owner's. In both cases the items are complete with the results
            // that the record names; any other results of this run are discarded.
            return Step.COMMITTED;
        }
        if (uncertain) {
            uncertain = false;
            return Step.WRITE;
        }
        return Step.REFUSED;
    }

    /** Returns the step after a write or read was not answered; a write may have taken effect. */
    public Step onNoAnswer() {
        uncertain = true;
        return Step.READ;
    }
}
