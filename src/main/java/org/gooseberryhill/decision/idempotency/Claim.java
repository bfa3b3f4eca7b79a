package org.gooseberryhill.decision.idempotency;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;

/**
 * Decides the next step of a call with an idempotency key after each result from the key-value store. Not
 * thread-safe.
 *
 * <p>Invariant: {@link ClaimStep.Send} is returned at most once among all calls with the same key on all hosts, since
 * it requires proof that the record under the key belongs to this call, and a record is created only if the key is
 * absent.
 */
public final class Claim {
    private static final int MAX_UNCERTAIN_RESULTS = 3;
    private static final long RETRY_AFTER_MILLIS = 2000;

    /** Age at which the holder of an unanswered claim is considered lost; longer than any deadline. */
    private static final long HOLDER_LOST_AFTER_MILLIS = 600_000;

    private final ClaimRecord own;
    private int uncertainResults;
    private boolean sent;

    /** Creates a claim that writes the given record. */
    public Claim(ClaimRecord own) {
        this.own = own;
    }

    /** Returns the first step. */
    public ClaimStep firstStep() {
        return new ClaimStep.Create();
    }

    /** Returns the next step after the service has answered the creation of the record. */
    public ClaimStep onCreateResult(boolean succeeded) {
        return succeeded ? send() : new ClaimStep.Read();
    }

    /** Returns the next step after the record was read; empty means that the key is absent. */
    public ClaimStep onReadResult(Optional<ClaimRecord> found, long nowMillis) {
        if (found.isEmpty()) {
            // An unanswered creation that is still on its way carries the same claim id, so creating again is safe.
            return afterUncertainResult(new ClaimStep.Create());
        }
        ClaimRecord record = found.get();
        if (record.claimId().equals(own.claimId())) {
            return send();
        }
        if (!record.requestHash().equals(own.requestHash())) {
            return new ClaimStep.Refuse(Refusal.notRun(
                    ErrorCode.CONFLICT, "the idempotency key belongs to another request of this caller"));
        }
        boolean holderLost = record.state() == ClaimRecord.State.CLAIMED
                && nowMillis - record.claimedMillis() > HOLDER_LOST_AFTER_MILLIS;
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

    /** Returns the next step after a creation or read without an answer; the creation may have taken effect. */
    public ClaimStep onNoAnswer() {
        return afterUncertainResult(new ClaimStep.Read());
    }

    /**
     * Returns whether the call was released for sending ({@link ClaimStep.Send}). If not, it has certainly not run, so
     * its own record may be deleted; otherwise it may have run.
     */
    public boolean isSent() {
        return sent;
    }

    /** Returns whether a result was missing or uncertain, so that the record of an unsent call may exist. */
    public boolean isUncertain() {
        return uncertainResults > 0;
    }

    private ClaimStep afterUncertainResult(ClaimStep next) {
        uncertainResults++;
        if (uncertainResults <= MAX_UNCERTAIN_RESULTS) {
            return next;
        }
        // The record may exist by now, but this call was never sent, so it has certainly not run.
        return new ClaimStep.Refuse(
                Refusal.notRun(ErrorCode.PLATFORM_UNAVAILABLE, "the call can't be claimed now", RETRY_AFTER_MILLIS));
    }

    private ClaimStep send() {
        if (sent) {
            throw new IllegalStateException("the claim has already returned Send");
        }
        sent = true;
        return new ClaimStep.Send();
    }
}
