package org.gooseberryhill.decision.job;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;

/**
 * Decides about the submission of a job, after each answer of the key-value service. Not thread-safe.
 *
 * <p>Invariant: a job is accepted only by its own record or an equal one under its key. A resent job, also through
 * another host at the same moment, finds that record and is the same job; another body is a conflict.
 */
public final class Intake {
    /** What to do next. */
    public enum Step {
        /** Create the record, if the key is absent. */
        CREATE,
        /** Read the record. */
        READ,
        /** Done: the job is accepted. */
        ACCEPTED,
        /** Done: the same job was accepted before. */
        SAME_JOB,
        /** Done: another body stands under the id. */
        CONFLICT,
        /** Done: the key-value service does not answer; a resend will tell. */
        UNAVAILABLE
    }

    private static final int MAX_UNCERTAIN_ANSWERS = 3;
    private static final long RETRY_AFTER_MILLIS = 2000;

    private final String bodyHash;
    private boolean uncertain;
    private int uncertainAnswers;

    /** The submission of a body with this hash. */
    public Intake(String bodyHash) {
        this.bodyHash = bodyHash;
    }

    /** The first step, once the items are durable on two zones' disks. */
    public Step begin() {
        return Step.CREATE;
    }

    /** The creation was answered. */
    public Step created(boolean succeeded) {
        return succeeded ? Step.ACCEPTED : Step.READ;
    }

    /** The record was read. */
    public Step read(Optional<JobRecord> found) {
        if (found.isEmpty()) {
            return Step.CREATE;
        }
        if (!found.get().bodyHash().equals(bodyHash)) {
            return Step.CONFLICT;
        }
        return uncertain ? Step.ACCEPTED : Step.SAME_JOB;
    }

    /** A creation or read was not answered: it may have taken effect. */
    public Step unanswered() {
        uncertain = true;
        uncertainAnswers++;
        return uncertainAnswers > MAX_UNCERTAIN_ANSWERS ? Step.UNAVAILABLE : Step.READ;
    }

    /** The refusal for a step that is one. */
    public static Optional<Refusal> refusal(Step step) {
        return switch (step) {
            case CONFLICT -> Optional.of(Refusal.notRun(ErrorCode.CONFLICT, "another job was accepted under this id"));
            // The record may have been written: the job may run. Sending it again is safe and tells.
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
