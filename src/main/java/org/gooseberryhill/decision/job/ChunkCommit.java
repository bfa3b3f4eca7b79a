package org.gooseberryhill.decision.job;

import java.util.Optional;

/**
 * Decides about the commit of one chunk, after each answer of the key-value service. Not thread-safe.
 *
 * <p>Invariant: a chunk has one record for ever. It is created only while the job's record is the one that the owner
 * read (a cancel changes it) and the owner's claim stands (a lapsed lease deletes it), and only where none is; trying
 * again after a lost answer is therefore safe.
 */
public final class ChunkCommit {
    /** What to do next. */
    public enum Step {
        /** Create the chunk's record under the conditions of this class. */
        WRITE,
        /** Read the chunk's record. */
        READ,
        /** Done: the chunk's completions are those of its record. */
        COMMITTED,
        /** Done: the job was cancelled or has another owner; stop it here. */
        REFUSED
    }

    private boolean uncertain;

    /** The first step, once the results are durable on two zones' disks. */
    public Step begin() {
        return Step.WRITE;
    }

    /** The write was answered. */
    public Step written(boolean succeeded) {
        return succeeded ? Step.COMMITTED : Step.READ;
    }

    /** The record was read. */
    public Step read(Optional<ChunkRecord> found) {
        if (found.isPresent()) {
            // This owner's or an earlier one's: in both cases the completions stand and this run's are dropped.
            return Step.COMMITTED;
        }
        if (uncertain) {
            uncertain = false;
            return Step.WRITE;
        }
        return Step.REFUSED;
    }

    /** A write or read was not answered: it may have taken effect. */
    public Step unanswered() {
        uncertain = true;
        return Step.READ;
    }
}
