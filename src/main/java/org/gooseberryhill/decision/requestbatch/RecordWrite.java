package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;

/**
 * Decides on the next step of one write of a batch record after each answer of the key-value store. Not thread-safe.
 *
 * <p>Invariant: the write is conditional on the revision that it is based on and is repeated unchanged, so it takes
 * effect at most once, however many repetitions arrive and however late. It has taken effect if the stored record
 * equals the written one; if the stored record differs, another process wrote first.
 */
public final class RecordWrite {
    /** The next step of the write. */
    public enum Step {
        /** Send the write; if it was sent before, repeat it unchanged. */
        WRITE,
        /** Read the record to find out whether the write has taken effect. */
        READ,
        /** Done: the write has taken effect. */
        DONE,
        /** Done: another process has changed the record, so the write can no longer take effect. */
        SUPERSEDED
    }

    private final BatchRecord intended;

    /** Creates the write of a record. */
    public RecordWrite(BatchRecord intended) {
        this.intended = intended;
    }

    /** Returns the next step after the write was answered. */
    public Step written(boolean succeeded) {
        return succeeded ? Step.DONE : Step.READ;
    }

    /** Returns the next step after a write without an answer, which may have taken effect or may still do so. */
    public Step writeUnanswered() {
        return Step.WRITE;
    }

    /** Returns the next step after the record was read following a refused write. */
    public Step read(Optional<BatchRecord> found) {
        return found.equals(Optional.of(intended)) ? Step.DONE : Step.SUPERSEDED;
    }

    /** Returns the next step after the record could not be read. */
    public Step readUnanswered() {
        return Step.READ;
    }
}
