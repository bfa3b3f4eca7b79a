package org.gooseberryhill.decision.configuration;

import java.util.Optional;

/**
 * The state machine of a configuration edit: decides the next step after each answer of the key-value store. Not
 * thread-safe.
 *
 * <p>Invariant: the edit takes effect at most once, reports success only if its own record was read or its write
 * confirmed, and never overwrites an edit that its author has not seen.
 */
public final class ConfigurationEdit {
    /** The next step of the caller. */
    public enum Step {
        /** Write the record on condition that the key still has the base revision. */
        WRITE,
        /** Read the key. */
        READ,
        /** Done: the edit is accepted. */
        ACCEPTED,
        /** Done: another edit took effect first. */
        CONFLICT,
        /** Done: the key-value store does not answer; the edit may or may not have taken effect. */
        UNKNOWN
    }

    private static final int MAX_MISSING_ANSWERS = 5;

    private final String editId;
    private final long baseRevision;
    private int missingAnswers;

    /**
     * Creates an edit.
     *
     * @param baseRevision the revision of the text that was edited; 0 if there was none
     */
    public ConfigurationEdit(String editId, long baseRevision) {
        this.editId = editId;
        this.baseRevision = baseRevision;
    }

    /** Returns the first step. */
    public Step begin() {
        return Step.WRITE;
    }

    /** Returns the step after the write was answered. */
    public Step written(boolean succeeded) {
        // A refused write may be a retry of one that took effect but whose answer was lost; only a read can tell.
        return succeeded ? Step.ACCEPTED : Step.READ;
    }

    /** Returns the step after the key was read. */
    public Step read(Optional<ConfigurationRecord> record, long revision) {
        if (record.map(found -> found.editId().equals(editId)).orElse(false)) {
            return Step.ACCEPTED;
        }
        return revision == baseRevision ? Step.WRITE : Step.CONFLICT;
    }

    /** Returns the step after a write or read was not answered; a write may have taken effect. */
    public Step onNoAnswer() {
        missingAnswers++;
        return missingAnswers > MAX_MISSING_ANSWERS ? Step.UNKNOWN : Step.READ;
    }
}
