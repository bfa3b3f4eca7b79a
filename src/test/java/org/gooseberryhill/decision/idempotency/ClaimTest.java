package org.gooseberryhill.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.junit.jupiter.api.Test;

class ClaimTest {
    private final ClaimRecord ownRecord = ClaimRecord.claimed("own", "hash", 0);
    private final ClaimRecord otherCallsRecord = ClaimRecord.claimed("other", "hash", 0);
    private final Claim claim = new Claim(ownRecord);

    @Test
    void aResendGetsTheStoredAnswer() {
        claim.onCreateResult(false);

        ClaimStep step = claim.onReadResult(Optional.of(otherCallsRecord.answered(201, Map.of(), new byte[] {1})), 0);

        assertThat(step)
                .isInstanceOfSatisfying(
                        ClaimStep.Replay.class,
                        replay -> assertThat(replay.record().status()).isEqualTo(201));
    }

    @Test
    void aResendOfACallWhoseAnswerIsLostIsNotRepeated() {
        assertThat(refusal(claim.onReadResult(Optional.of(otherCallsRecord.answerLost()), 0))
                        .outcome())
                .isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    @Test
    void aResendDuringTheCallIsRefusedWithARetryAfterTime() {
        Refusal refusal = refusal(claim.onReadResult(Optional.of(otherCallsRecord), 0));

        assertThat(refusal.code()).isEqualTo(ErrorCode.IN_PROGRESS);
        assertThat(refusal.retryAfterMillis()).isPresent();
    }

    /** The claim's host was lost while the call was in flight; a later resend must learn that the answer is lost. */
    @Test
    void aClaimWhoseHolderWasLostEndsAsMayHaveRun() {
        Refusal refusal = refusal(claim.onReadResult(Optional.of(otherCallsRecord), 700_000));

        assertThat(refusal.code()).isEqualTo(ErrorCode.ENDPOINT_FAILED);
        assertThat(refusal.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    @Test
    void anotherRequestUnderTheSameKeyIsAConflict() {
        ClaimRecord different = ClaimRecord.claimed("other", "another hash", 0);

        assertThat(refusal(claim.onReadResult(Optional.of(different), 0)).code())
                .isEqualTo(ErrorCode.CONFLICT);
    }

    /** Without the key-value store, a call cannot be claimed, is never sent and is refused as not run. */
    @Test
    void duringAnOutageTheCallIsRefusedAsNotRun() {
        ClaimStep step = claim.onNoAnswer();
        while (step instanceof ClaimStep.Read) {
            step = claim.onNoAnswer();
        }

        assertThat(refusal(step).code()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
        assertThat(refusal(step).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(claim.isSent()).isFalse();
        assertThat(claim.isUncertain()).isTrue();
    }

    private static Refusal refusal(ClaimStep step) {
        return ((ClaimStep.Refuse) step).refusal();
    }
}
