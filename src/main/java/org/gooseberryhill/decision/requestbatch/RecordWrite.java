package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;

/**
 * Decides on the next step of one write of a batch record after each answer of the key-value store. Not thread-safe.
 *
 * <p>Invariant: the write is conditional on the revision that it is based on and is repeated unchanged, so it takes
 * effect at most once, however many repetitions arrive and however late. It has taken effect if the stored record bears its
 * id; if not, another write came first. The content alone does not tell: a record names no results, so that two commits of as
 * many results leave equal records.
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
        /** Done: another write has changed the record, so this one can no longer take effect. */
        SUPERSEDED
    }

    private final WriteId id;

    /** Creates the write of a record. */
    public RecordWrite(WriteId id) {
        this.id = id;
    }

    /** Returns the next step after the write was answered. */
    public Step written(boolean succeeded) {
        return succeeded ? Step.DONE : Step.READ;
    }

    /** Returns the next step after a write without an answer, which may have taken effect or may still do so. */
    public Step writeUnanswered() {
        return Step.WRITE;
    }

    /**
     * Returns the next step after the record was read following a refused write.
     *
     * @param found the id of the write that stored the record; empty if there is no record or it bears no id
     */
    public Step read(Optional<WriteId> found) {
        return found.equals(Optional.of(id)) ? Step.DONE : Step.SUPERSEDED;
    }

    /** Returns the next step after the record could not be read. */
    public Step readUnanswered() {
        return Step.READ;
    }
}
