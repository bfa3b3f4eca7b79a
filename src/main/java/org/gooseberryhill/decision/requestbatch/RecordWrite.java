package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;

/**
 * Decides about one write of a batch's record, after each answer of the key-value store. Not thread-safe.
 *
 * <p>Invariant: the write holds only at the revision that it was made from, and is repeated word for word, so it takes
 * effect once at the most, however many of its repetitions arrive, and however late. It has taken effect if the record
 * says just what it wrote; if the record says anything else, another process was first.
 */
public final class RecordWrite {
    /** What to do next. */
    public enum Step {
        /** Send the write, the same as before. */
        WRITE,
        /** Read the record. */
        READ,
        /** Done: the write has taken effect. */
        DONE,
        /** Done: another process has changed the record; the write never takes effect any more. */
        SUPERSEDED
    }

    private final BatchRecord intended;

    /** The write of a record. */
    public RecordWrite(BatchRecord intended) {
        this.intended = intended;
    }

    /** The write was answered. */
    public Step written(boolean succeeded) {
        return succeeded ? Step.DONE : Step.READ;
    }

    /** The write was not answered: it may have taken effect, or may yet. */
    public Step writeUnanswered() {
        return Step.WRITE;
    }

    /** The record was read after a write was refused. */
    public Step read(Optional<BatchRecord> found) {
        return found.equals(Optional.of(intended)) ? Step.DONE : Step.SUPERSEDED;
    }

    /** The record could not be read. */
    public Step readUnanswered() {
        return Step.READ;
    }
}
