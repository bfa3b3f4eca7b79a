package org.gooseberryhill.decision.idempotency;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;

/**
 * Decides about one call with an idempotency key, after each answer of the key-value service. Not thread-safe.
 *
 * <p>Invariant: {@link ClaimStep.Send} comes out at most once for all calls with the same key on all hosts, since it
 * needs the proof that the record under the key is this call's own, and a record is created only where none is.
 */
public final class Claim {
    private static final int MAX_UNCERTAIN_ANSWERS = 3;
    private static final long RETRY_AFTER_MILLIS = 2000;

    /** After this a claim without an answer counts as one whose holder was lost; longer than any deadline. */
    private static final long LOST_AFTER_MILLIS = 600_000;

    private final ClaimRecord own;
    private int uncertainAnswers;
    private boolean sent;

    /** A claim that would be made with this record. */
    public Claim(ClaimRecord own) {
        this.own = own;
    }

    /** The first step. */
    public ClaimStep begin() {
        return new ClaimStep.Create();
    }

    /** The creation was answered. */
    public ClaimStep created(boolean succeeded) {
        return succeeded ? send() : new ClaimStep.Read();
    }

    /** The record was read. */
    public ClaimStep read(Optional<ClaimRecord> found, long nowMillis) {
        if (found.isEmpty()) {
            // An unanswered creation that has not arrived yet carries the same claim id: creating again is safe.
            return countUncertain(new ClaimStep.Create());
        }
        ClaimRecord record = found.get();
        if (record.claimId().equals(own.claimId())) {
            return send();
        }
        if (!record.requestHash().equals(own.requestHash())) {
            return new ClaimStep.Refuse(Refusal.notRun(
                    ErrorCode.CONFLICT, "the idempotency key belongs to another request of this caller"));
        }
        boolean holderLost =
                record.state() == ClaimRecord.State.CLAIMED && nowMillis - record.claimedMillis() > LOST_AFTER_MILLIS;
        return switch (holderLost ? ClaimRecord.State.ANSWER_LOST : record.state()) {
            case ANSWERED -> new ClaimStep.Replay(record);
            case ANSWER_LOST ->
                new ClaimStep.Refuse(Refusal.mayHaveRun(
                        ErrorCode.ENDPOINT_FAILED, "the call may have run and its answer is lost; it is not repeated"));
            case CLAIMED ->
                new ClaimStep.Refuse(new Refusal(
                        ErrorCode.IN_PROGRESS,
                        Outcome.MAY_HAVE_RUN,
                        "a call with this idempotency key is in progress",
                        Optional.of(RETRY_AFTER_MILLIS)));
        };
    }

    /** A creation or read was not answered: it may have taken effect. */
    public ClaimStep unanswered() {
        return countUncertain(new ClaimStep.Read());
    }

    /** Whether the call was to be sent. */
    public boolean isSent() {
        return sent;
    }

    /** Whether a creation was not answered, so that the record may stand although the call was not sent. */
    public boolean isUncertain() {
        return uncertainAnswers > 0;
    }

    private ClaimStep countUncertain(ClaimStep next) {
        uncertainAnswers++;
        if (uncertainAnswers <= MAX_UNCERTAIN_ANSWERS) {
            return next;
        }
        // The record may exist by now, but this call was never sent: not-run is true.
        return new ClaimStep.Refuse(
                Refusal.notRun(ErrorCode.PLATFORM_UNAVAILABLE, "the call can't be claimed now", RETRY_AFTER_MILLIS));
    }

    private ClaimStep send() {
        if (sent) {
            throw new IllegalStateException("a call is sent once");
        }
        sent = true;
        return new ClaimStep.Send();
    }
}
