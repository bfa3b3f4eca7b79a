package org.gooseberryhill.decision.configuration;

import java.util.Optional;

/**
 * Decides what an edit does next after each answer of the key-value service. Not thread-safe.
 *
 * <p>Invariant: the edit takes effect at most once and reports success only if its own record was seen or confirmed;
 * it never overwrites an edit that its author has not seen.
 */
public final class ConfigurationEdit {
    /** What to do next. */
    public enum Step {
        /** Write the record, if the key still has the base revision. */
        WRITE,
        /** Read the key. */
        READ,
        /** Done: the edit is accepted. */
        ACCEPTED,
        /** Done: another edit came first. */
        CONFLICT,
        /** Done: the key-value service does not answer; the edit may or may not have taken effect. */
        UNKNOWN
    }

    private static final int MAX_UNCERTAIN_ANSWERS = 5;

    private final String editId;
    private final long baseRevision;
    private int uncertainAnswers;

    /** An edit of the text that had this revision; 0 if there was none. */
    public ConfigurationEdit(String editId, long baseRevision) {
        this.editId = editId;
        this.baseRevision = baseRevision;
    }

    /** The first step. */
    public Step begin() {
        return Step.WRITE;
    }

    /** The write was answered. */
    public Step written(boolean succeeded) {
        // A refused write may be the second try of one that took effect while its answer was lost: read to know.
        return succeeded ? Step.ACCEPTED : Step.READ;
    }

    /** The key was read. */
    public Step read(Optional<ConfigurationRecord> record, long revision) {
        if (record.map(found -> found.editId().equals(editId)).orElse(false)) {
            return Step.ACCEPTED;
        }
        return revision == baseRevision ? Step.WRITE : Step.CONFLICT;
    }

    /** A write or read was not answered: it may have taken effect. */
    public Step unanswered() {
        uncertainAnswers++;
        return uncertainAnswers > MAX_UNCERTAIN_ANSWERS ? Step.UNKNOWN : Step.READ;
    }
}
