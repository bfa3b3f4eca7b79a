package org.gooseberryhill.decision.job;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;

/**
 * The state machine of a job's submission: decides the next step after each answer of the key-value store. Not
 * thread-safe.
 *
 * <p>Invariant: a job is accepted only if its key holds its own record or one with the same body. A job that is sent
 * again, even concurrently through another host, finds that record and is recognized as the same job; a different body
 * is a conflict.
 */
public final class JobSubmission {
    /** The next step of the caller. */
    public enum Step {
        /** Create the record on condition that the key is absent. */
        CREATE,
        /** Read the record. */
        READ,
        /** Done: the job is accepted. */
        ACCEPTED,
        /** Done: the same job had been accepted before. */
        SAME_JOB,
        /** Done: a job with another body was accepted under the id. */
        CONFLICT,
        /** Done: the key-value store does not answer. Sending the job again shows whether it was accepted. */
        UNAVAILABLE
    }

    private static final int MAX_MISSING_ANSWERS = 3;
    private static final long RETRY_AFTER_MILLIS = 2000;

    private final String bodyHash;
    private boolean uncertain;
    private int missingAnswers;

    /** Creates the submission of a job whose body has this hash. */
    public JobSubmission(String bodyHash) {
        this.bodyHash = bodyHash;
    }

    /** Returns the first step, to be taken once the items are on disk in two availability zones. */
    public Step begin() {
        return Step.CREATE;
    }

    /** Returns the step after the creation was answered. */
    public Step created(boolean succeeded) {
        return succeeded ? Step.ACCEPTED : Step.READ;
    }

    /** Returns the step after the record was read. */
    public Step read(Optional<JobRecord> found) {
        if (found.isEmpty()) {
            return Step.CREATE;
        }
        if (!found.get().bodyHash().equals(bodyHash)) {
            return Step.CONFLICT;
        }
        return uncertain ? Step.ACCEPTED : Step.SAME_JOB;
    }

    /** Returns the step after a creation or read was not answered; a creation may have taken effect. */
    public Step onNoAnswer() {
        uncertain = true;
        missingAnswers++;
        return missingAnswers > MAX_MISSING_ANSWERS ? Step.UNAVAILABLE : Step.READ;
    }

    /**
     * Returns the refusal with which the caller is answered after a final step; empty if the step does not lead to a
     * refusal.
     */
    public static Optional<Refusal> refusal(Step step) {
        return switch (step) {
            case CONFLICT -> Optional.of(Refusal.notRun(ErrorCode.CONFLICT, "another job was accepted under this id"));
            // The record may have been written, so the job may run. Sending it again is safe and shows its state.
            case UNAVAILABLE ->
                Optional.of(new Refusal(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        Outcome.MAY_HAVE_RUN,
                        "the job may or may not be accepted; send it again under the same id",
                        Optional.of(RETRY_AFTER_MILLIS)));
            default -> Optional.empty();
        };
    }
}
