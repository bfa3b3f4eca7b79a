package org.gooseberryhill.decision.online;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.online.OnlineCoreFixture.SECOND;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.retry.AttemptFailure;
import org.junit.jupiter.api.Test;

class OnlineCoreTest {
    private static final AttemptFailure CUT = new AttemptFailure(Outcome.MAY_HAVE_RUN, true, "cut");
    private static final AttemptFailure UNREACHABLE = new AttemptFailure(Outcome.NOT_RUN, false, "refused");

    private final OnlineCore core = OnlineCoreFixture.core(4);

    /**
     * The first endpoint is lost after it got the request, and the other endpoints are unreachable. The refusal must
     * say that the request may have run, although the last attempt did not.
     */
    @Test
    void onceAnAttemptMayHaveRunTheRequestMayHaveRun() {
        OnlineRequest request = admit(1, true);
        core.next(request, 0);
        OnlineDecision decision = core.attemptFailed(request, CUT, 0);
        while (decision instanceof OnlineDecision.Send || decision instanceof OnlineDecision.AskPermit) {
            decision = core.attemptFailed(request, UNREACHABLE, 0);
        }

        Refusal refusal = ((OnlineDecision.Refuse) decision).refusal();
        assertThat(refusal.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    @Test
    void aRetryGoesToAnotherEndpoint() {
        OnlineRequest request = admit(1, true);
        OnlineDecision.Send first = (OnlineDecision.Send) core.next(request, 0);
        OnlineDecision.Send second = (OnlineDecision.Send) core.attemptFailed(request, UNREACHABLE, 0);

        assertThat(second.endpoint().name()).isNotEqualTo(first.endpoint().name());
    }

    @Test
    void aLeavingEndpointGetsNoNewRequest() {
        core.endpoints().setLeaving(Set.of("e0", "e1", "e2"));
        for (int i = 0; i < 20; i++) {
            OnlineDecision.Send send = (OnlineDecision.Send) core.next(admit(i, true), 0);
            assertThat(send.endpoint().name()).isEqualTo("e3");
            core.endpoints().recordCancellation("e3");
        }
    }

    @Test
    void withoutAnyEndpointARequestIsRefusedAsNotRun() {
        core.endpoints().setLeaving(Set.of("e0", "e1", "e2", "e3"));

        Refusal refusal = core.admit(OnlineCoreFixture.requestInfo(1, true, 10 * SECOND), 0)
                .getLeft();

        assertThat(refusal.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal.retryAfterMillis()).isPresent();
    }

    /**
     * All slots are in use and the request's deadline is near. It would expire while waiting, so it is refused at once
     * with the time at which a slot is likely to be free.
     */
    @Test
    void aRequestThatCannotBeAnsweredInTimeIsRefusedAtOnce() {
        for (int i = 0; i < 64; i++) {
            core.next(admit(i, true), 0);
        }

        Refusal refusal = core.admit(OnlineCoreFixture.requestInfo(99, true, SECOND / 100), 0)
                .getLeft();

        assertThat(refusal.code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isPositive();
    }

    /** A network failure at this host looks like a failure of all endpoints, so half of them must stay in use. */
    @Test
    void failuresNeverEjectMoreThanHalfOfTheEndpoints() {
        for (int i = 0; i < 40; i++) {
            OnlineRequest request = admit(i, true);
            OnlineDecision decision = core.next(request, 0);
            if (decision instanceof OnlineDecision.Send) {
                core.attemptFailed(request, UNREACHABLE, 0);
            }
        }

        long ejected = core.endpoints().pool("s").orElseThrow().endpoints().stream()
                .filter(endpoint -> endpoint.isEjected(0))
                .count();
        assertThat(ejected).isEqualTo(2);
    }

    @Test
    void aSuspectNeedsAPermitAndIsRefusedAtOnceAfterItsSecondCrash() {
        OnlineRequest request = admit(1, true);
        OnlineDecision.Send first = (OnlineDecision.Send) core.next(request, 0);
        core.suspects()
                .recordCrash(first.endpoint().name(), List.of(request.info().fingerprint()), 0);
        OnlineDecision.AskPermit askPermit = (OnlineDecision.AskPermit) core.attemptFailed(request, CUT, 0);
        String granted = askPermit.endpoints().get(0);
        core.onPermitAnswer(request, Optional.of(granted), 0);
        core.suspects().recordCrash(granted, List.of(request.info().fingerprint()), 3 * SECOND);

        OnlineDecision decision = core.attemptFailed(request, CUT, 3 * SECOND);
        Refusal resendRefusal = core.admit(OnlineCoreFixture.requestInfo(1, true, 10 * SECOND), 3 * SECOND)
                .getLeft();

        assertThat(((OnlineDecision.Refuse) decision).refusal().code()).isEqualTo(ErrorCode.QUARANTINED);
        assertThat(resendRefusal.code()).isEqualTo(ErrorCode.QUARANTINED);
        assertThat(resendRefusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /**
     * Guards against a further crash by a request that is already quarantined: its second crash is recorded while this host
     * waits for the permit, and the permit is used all the same.
     */
    @Test
    void aPermitAnsweredAfterTheQuarantineIsNotUsed() {
        OnlineRequest request = admit(1, true);
        List<Fingerprint> fingerprints = List.of(request.info().fingerprint());
        core.suspects().recordCrash("e0", fingerprints, 0);
        core.next(request, 0);
        core.suspects().recordCrash("e1", fingerprints, 0);

        OnlineDecision decision = core.onPermitAnswer(request, Optional.of("e2"), 0);

        assertThat(decision).isInstanceOf(OnlineDecision.Refuse.class);
        assertThat(request.holdsPermit()).isFalse();
    }

    /**
     * Guards against one more crash than the endpoints that equal requests are sent to: a permit at any other endpoint
     * would let a suspect reach an endpoint of its own.
     */
    @Test
    void aSuspectAsksForAPermitOnlyAtTheEndpointsThatItIsSentToAnyway() {
        OnlineCore larger = OnlineCoreFixture.core(12);
        OnlineRequestInfo info = OnlineCoreFixture.requestInfo(1, true, 100 * SECOND);
        OnlineRequest request = larger.admit(info, 0).get();
        OnlineDecision.Send first = (OnlineDecision.Send) larger.next(request, 0);
        larger.suspects().recordCrash(first.endpoint().name(), List.of(info.fingerprint()), 0);

        OnlineDecision decision = larger.attemptFailed(request, CUT, 0);

        assertThat(((OnlineDecision.AskPermit) decision).endpoints()).hasSize(1);
    }

    @Test
    void aSuspectThatCompletesIsCleared() {
        OnlineRequest request = admit(1, true);
        core.suspects().recordCrash("e0", List.of(request.info().fingerprint()), 0);
        core.next(request, 0);
        core.onPermitAnswer(request, Optional.of("e1"), 0);
        core.attemptSucceeded(request, SECOND);

        assertThat(core.suspects().size()).isZero();
    }

    private OnlineRequest admit(int number, boolean idempotent) {
        return core.admit(OnlineCoreFixture.requestInfo(number, idempotent, 100 * SECOND), 0)
                .get();
    }
}
