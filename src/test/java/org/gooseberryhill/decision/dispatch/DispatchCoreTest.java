package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

class DispatchCoreTest {
    private static final Route SAFE = DispatchFixture.route(RouteKind.SAFE, false, 3);
    private static final Route UNSAFE = DispatchFixture.route(RouteKind.UNSAFE, false, 3);
    private static final Route NON_RESUMABLE = DispatchFixture.route(RouteKind.STREAM, false, 2);
    private static final Route RESUMABLE = DispatchFixture.route(RouteKind.STREAM, true, 2);

    private final DispatchFixture fixture = new DispatchFixture(4);

    @Test
    void requestsSpreadOverAllEndpointsBeforeAnyHasTwo() {
        Set<EndpointKey> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(sent(fixture.dispatch(fixture.arrive(SAFE))));
        }
        assertThat(used).hasSize(4);
    }

    /** Connection setup takes a round trip: of otherwise equal endpoints the one with an idle connection is chosen. */
    @Test
    void anEndpointWithAnIdleConnectionIsChosenAmongEqualEndpoints() {
        fixture.connected.add(DispatchFixture.address("e2"));
        EndpointKey chosen = sent(fixture.dispatch(fixture.arrive(SAFE)));
        assertThat(chosen).isEqualTo(DispatchFixture.key("e2"));

        for (int i = 0; i < 30; i++) {
            fixture.dispatch(fixture.arrive(SAFE));
        }
        assertThat(fixture.endpoint("e2").online()).isLessThanOrEqualTo(11);
    }

    /**
     * Requests share a prompt prefix. While endpoints are idle they go to the one that has processed the prefix; in a
     * burst they spread, since waiting for a slot takes longer than processing the prefix again.
     */
    @Test
    void requestsThatShareAPrefixGoWhereItIsCachedUnlessTheyWouldWait() {
        EndpointKey cachingEndpoint = sent(fixture.dispatch(fixture.arrive(RESUMABLE, prompt(0))));
        fixture.fleet.onlineEnded(cachingEndpoint);
        assertThat(sent(fixture.dispatch(fixture.arrive(RESUMABLE, prompt(1))))).isEqualTo(cachingEndpoint);

        Set<EndpointKey> used = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            used.add(sent(fixture.dispatch(fixture.arrive(RESUMABLE, prompt(i)))));
        }
        assertThat(used).hasSize(4);
    }

    /**
     * The connection is lost after a request that may not be repeated was sent, so it may have run. Its caller is told
     * so at once, and no other endpoint gets the request, however many attempts the route allows.
     */
    @Test
    void aRequestThatMayNotBeRepeatedIsNotSentAgainOnceItMayHaveRun() {
        RoutedRequest request = fixture.arrive(UNSAFE);
        fixture.dispatch(request);

        Refusal refusal = refusal(fixture.failed(request, AttemptEnd.CUT));

        assertThat(refusal.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
        assertThat(request.sends()).isEqualTo(1);
    }

    /** A stream that cannot be resumed counts as a request that may not be repeated, even before its first event. */
    @Test
    void aStreamThatCannotBeResumedIsNotSentAgainOnceItMayHaveRun() {
        RoutedRequest request = fixture.arrive(NON_RESUMABLE);
        fixture.dispatch(request);

        assertThat(refusal(fixture.failed(request, AttemptEnd.CUT)).code()).isEqualTo(ErrorCode.ENDPOINT_FAILED);
    }

    @Test
    void aRequestOfAnyKindGoesToAnotherEndpointAfterABusyRefusal() {
        for (Route route : List.of(SAFE, UNSAFE, NON_RESUMABLE, RESUMABLE)) {
            DispatchFixture fresh = new DispatchFixture(4);
            RoutedRequest request = fresh.arrive(route);
            EndpointKey busyEndpoint = sent(fresh.dispatch(request));
            EndpointKey nextEndpoint = sent(fresh.failed(request, AttemptEnd.BUSY));
            assertThat(nextEndpoint).isNotEqualTo(busyEndpoint);
            assertThat(request.outcome()).isEqualTo(Outcome.NOT_RUN);
        }
    }

    /**
     * The connection of a stream is lost in the middle of the answer while the other endpoints are briefly full. Its
     * caller has a part of the answer and cannot request the rest: the host tries the other endpoints again until one
     * of them has a slot.
     */
    @Test
    void theRestOfAStreamWaitsForASlotWhenAllEndpointsAreFull() {
        RoutedRequest request = fixture.arrive(RESUMABLE);
        EndpointKey failedEndpoint = sent(fixture.dispatch(request));
        request.answerStarted();
        DispatchDecision decision = fixture.failed(request, AttemptEnd.CUT);
        for (int i = 0; i < 5; i++) {
            while (decision instanceof DispatchDecision.Send) {
                decision = fixture.failed(request, AttemptEnd.BUSY);
            }
            assertThat(decision).isInstanceOf(DispatchDecision.Wait.class);
            fixture.advanceMillis(((DispatchDecision.Wait) decision).millis());
            decision = fixture.core.dispatchAfterWait(request, fixture.nowNanos);
        }

        assertThat(sent(decision)).isNotEqualTo(failedEndpoint);
    }

    /** The deadline passed while the host was starting: the refusal must report this and not an overload. */
    @Test
    void aRequestWhoseDeadlineHasPassedIsNotSent() {
        RoutedRequest request = fixture.arrive(SAFE);
        fixture.advanceMillis(5000);

        Refusal refusal = refusal(fixture.dispatch(request));

        assertThat(refusal.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(request.sends()).isZero();
    }

    /** The caller has no part of the answer yet: it is refused at once and can retry. */
    @Test
    void aRequestThatAllEndpointsRefuseIsRefusedAtOnce() {
        RoutedRequest request = fixture.arrive(RESUMABLE);
        DispatchDecision decision = fixture.dispatch(request);
        while (decision instanceof DispatchDecision.Send) {
            decision = fixture.failed(request, AttemptEnd.BUSY);
        }

        assertThat(refusal(decision).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void noMoreEndpointsMayHaveRunARequestThanItsRouteAllows() {
        RoutedRequest request = fixture.arrive(RESUMABLE);
        fixture.dispatch(request);
        fixture.failed(request, AttemptEnd.BUSY);
        fixture.failed(request, AttemptEnd.CUT);

        assertThat(refusal(fixture.failed(request, AttemptEnd.CUT)).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
        assertThat(request.possibleRuns()).isEqualTo(2);
    }

    @Test
    void aResumableStreamContinuesElsewhereAfterItsCallerGotAPart() {
        RoutedRequest request = fixture.arrive(RESUMABLE);
        EndpointKey failedEndpoint = sent(fixture.dispatch(request));
        request.answerStarted();

        assertThat(sent(fixture.failed(request, AttemptEnd.CUT))).isNotEqualTo(failedEndpoint);
    }

    @Test
    void whenAllEndpointsRefuseARequestItsCallerIsToldThatItHasNotRun() {
        RoutedRequest request = fixture.arrive(UNSAFE);
        DispatchDecision decision = fixture.dispatch(request);
        while (decision instanceof DispatchDecision.Send) {
            decision = fixture.failed(request, AttemptEnd.BUSY);
        }
        assertThat(refusal(decision).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal(decision).retryAfterMillis()).isPresent();
    }

    @Test
    void withoutRemainingTimeNoFurtherAttemptIsMade() {
        RoutedRequest request = fixture.arrive(SAFE);
        fixture.dispatch(request);
        fixture.advanceMillis(4990);

        assertThat(refusal(fixture.failed(request, AttemptEnd.CUT)).code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
    }

    /** The endpoints are full of online requests for seconds: a new request is refused at once with a retry time. */
    @Test
    void aRequestThatWouldWaitFarBeyondItsTargetIsRefusedAtOnceWithARetryTime() {
        fixture.reported(Map.of(
                DispatchFixture.key("e0"), new InFlight(60, 0),
                DispatchFixture.key("e1"), new InFlight(60, 0),
                DispatchFixture.key("e2"), new InFlight(60, 0),
                DispatchFixture.key("e3"), new InFlight(60, 0)));

        Refusal refusal = refusal(fixture.dispatch(fixture.arrive(SAFE)));

        assertThat(refusal.code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isPositive();
    }

    /**
     * To explain a refusal, operators need the load that this host had recorded at that moment and the age of the
     * reports.
     */
    @Test
    void aRefusalBecauseOfLoadCarriesTheFiguresBehindIt() {
        fixture.reported(
                Map.of(DispatchFixture.key("e0"), new InFlight(60, 2), DispatchFixture.key("e1"), new InFlight(60, 0)));
        fixture.fleet.updateDirectory(List.of(
                DispatchFixture.entry("e0", 1, false),
                DispatchFixture.entry("e1", 1, false),
                DispatchFixture.entry("e2", 1, true)));
        fixture.advanceMillis(70);

        DispatchDecision decision = fixture.dispatch(fixture.arrive(SAFE));

        OverloadFacts facts = ((DispatchDecision.Refuse) decision).overload().orElseThrow();
        assertThat(facts.waitMillis()).isGreaterThan(facts.longestWaitMillis());
        assertThat(fixture.fleet.serviceState(DispatchFixture.SERVICE, fixture.nowNanos))
                .isEqualTo(new ServiceState(3, 2, 16, 120, 2, 70));
    }

    @Test
    void batchItemsDoNotCauseTheRefusalOfAnOnlineRequest() {
        fixture.reported(Map.of(
                DispatchFixture.key("e0"), new InFlight(0, 8),
                DispatchFixture.key("e1"), new InFlight(0, 8),
                DispatchFixture.key("e2"), new InFlight(0, 8),
                DispatchFixture.key("e3"), new InFlight(0, 8)));

        assertThat(fixture.dispatch(fixture.arrive(NON_RESUMABLE))).isInstanceOf(DispatchDecision.Send.class);
    }

    @Test
    void aLeavingEndpointGetsNoNewRequests() {
        fixture.fleet.updateDirectory(
                List.of(DispatchFixture.entry("e0", 1, true), DispatchFixture.entry("e1", 1, false)));
        List<EndpointKey> used = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            used.add(sent(fixture.dispatch(fixture.arrive(SAFE))));
        }
        assertThat(used).containsOnly(DispatchFixture.key("e1"));
    }

    /** An endpoint that crashed and restarted under the same id does not inherit its recorded failures. */
    @Test
    void aRestartedEndpointIsADifferentEndpoint() {
        fixture.fleet.updateDirectory(
                List.of(DispatchFixture.entry("e0", 1, false), DispatchFixture.entry("e1", 1, false)));
        fixture.fleet.attemptEnded(DispatchFixture.key("e0"), AttemptEnd.UNREACHABLE, fixture.nowNanos);
        assertThat(fixture.endpoint("e0").isUsable(fixture.nowNanos)).isFalse();

        fixture.fleet.updateDirectory(
                List.of(DispatchFixture.entry("e0", 2, false), DispatchFixture.entry("e1", 1, false)));

        FleetEndpoint restarted = fixture.fleet.find(new EndpointKey("e0", 2)).orElseThrow();
        assertThat(restarted.isUsable(fixture.nowNanos)).isTrue();
    }

    /** This host cannot reach any endpoint: half stay in use, or none would be tried once the network recovers. */
    @Test
    void failuresNeverEjectMoreThanHalfOfAService() {
        for (String id : List.of("e0", "e1", "e2", "e3")) {
            fixture.fleet.attemptEnded(DispatchFixture.key(id), AttemptEnd.UNREACHABLE, fixture.nowNanos);
        }
        long usable = fixture.fleet.all().stream()
                .filter(endpoint -> endpoint.isUsable(fixture.nowNanos))
                .count();
        assertThat(usable).isEqualTo(2);
    }

    /**
     * A registration lapses while the store is unavailable and returns while a request still runs: the end of the
     * request must not make the in-flight count negative.
     */
    @Test
    void aReturningRegistrationKeepsItsInFlightCounts() {
        RoutedRequest request = fixture.arrive(SAFE);
        EndpointKey key = sent(fixture.dispatch(request));
        fixture.fleet.updateDirectory(List.of());
        fixture.fleet.updateDirectory(List.of(DispatchFixture.entry(key.id(), 1, false)));
        assertThat(fixture.endpoint(key.id()).online()).isEqualTo(1);

        fixture.core.attemptSucceeded(request, fixture.nowNanos);

        assertThat(fixture.endpoint(key.id()).online()).isZero();
    }

    @Test
    void aRequestThatCrashedEndpointsTwiceIsRefusedAsNotRun() {
        RoutedRequest request = fixture.arrive(SAFE);
        fixture.suspects.recordCrash("e0", List.of(request.info().fingerprint()), fixture.nowNanos);
        fixture.advanceMillis(3000);
        fixture.suspects.recordCrash("e1", List.of(request.info().fingerprint()), fixture.nowNanos);

        assertThat(refusal(fixture.dispatch(request)).code()).isEqualTo(ErrorCode.QUARANTINED);
    }

    private static Optional<Prompt> prompt(int request) {
        List<PromptPart> parts = List.of(new PromptPart("course", 1000), new PromptPart("own" + request, 50));
        return Optional.of(new Prompt("m", 1050, 25, parts));
    }

    private static EndpointKey sent(DispatchDecision decision) {
        assertThat(decision).isInstanceOf(DispatchDecision.Send.class);
        return ((DispatchDecision.Send) decision).endpoint().key();
    }

    private static Refusal refusal(DispatchDecision decision) {
        assertThat(decision).isInstanceOf(DispatchDecision.Refuse.class);
        return ((DispatchDecision.Refuse) decision).refusal();
    }

    /** Guards against an answer that is aborted because its endpoint is silent, though no other one can continue it. */
    @Test
    void aSilentStreamFailsOverOnlyIfAnotherAttemptIsPossible() {
        Route resumable = DispatchFixture.route(RouteKind.STREAM, true, 2);
        RoutedRequest request = fixture.arrive(resumable);
        fixture.dispatch(request);
        assertThat(fixture.core.canFailOver(request, fixture.nowNanos)).isTrue();

        fixture.failed(request, AttemptEnd.SILENT);
        assertThat(fixture.core.canFailOver(request, fixture.nowNanos))
                .as("its last attempt")
                .isFalse();

        RoutedRequest nonResumableRequest = fixture.arrive(DispatchFixture.route(RouteKind.STREAM, false, 2));
        fixture.dispatch(nonResumableRequest);
        assertThat(fixture.core.canFailOver(nonResumableRequest, fixture.nowNanos))
                .as("may run once")
                .isFalse();

        DispatchFixture singleEndpoint = new DispatchFixture(1);
        RoutedRequest onlyRequest = singleEndpoint.arrive(resumable);
        singleEndpoint.dispatch(onlyRequest);
        assertThat(singleEndpoint.core.canFailOver(onlyRequest, singleEndpoint.nowNanos))
                .as("no other endpoint")
                .isFalse();
    }

    /**
     * Guards against a stream that is moved from its silent endpoint and then refused, since equal requests crashed
     * other endpoints.
     */
    @Test
    void aQuarantinedStreamStaysWithItsSilentEndpoint() {
        RoutedRequest request = fixture.arrive(RESUMABLE);
        fixture.dispatch(request);
        request.answerStarted();
        quarantine(request);
        fixture.advanceMillis(700);

        assertThat(fixture.core.canFailOver(request, fixture.nowNanos)).isFalse();
    }

    /** Guards against an answer that is moved from its silent endpoint though no other one can continue it midway. */
    @Test
    void anAnswerThatCannotBeResumedStaysWithItsSilentEndpointOnceItHasStarted() {
        RoutedRequest request = fixture.arrive(SAFE);
        fixture.dispatch(request);
        assertThat(fixture.core.canFailOver(request, fixture.nowNanos)).isTrue();

        request.answerStarted();

        assertThat(fixture.core.canFailOver(request, fixture.nowNanos)).isFalse();
    }

    /** Guards against a request that is sent twice at once: failed over as silent while it waits to be sent again. */
    @Test
    void aRequestThatWaitsForAnEndpointCannotFailOver() {
        DispatchFixture twoEndpoints = new DispatchFixture(2);
        RoutedRequest request = twoEndpoints.arrive(DispatchFixture.route(RouteKind.STREAM, true, 4));
        twoEndpoints.dispatch(request);
        request.answerStarted();
        twoEndpoints.failed(request, AttemptEnd.CUT);
        DispatchDecision decision = twoEndpoints.failed(request, AttemptEnd.BUSY);
        assertThat(decision).isInstanceOf(DispatchDecision.Wait.class);
        twoEndpoints.advanceMillis(((DispatchDecision.Wait) decision).millis());

        assertThat(twoEndpoints.core.canFailOver(request, twoEndpoints.nowNanos))
                .isFalse();
    }

    private void quarantine(RoutedRequest request) {
        fixture.suspects.recordCrash("x0", List.of(request.info().fingerprint()), fixture.nowNanos);
        fixture.suspects.recordCrash("x1", List.of(request.info().fingerprint()), fixture.nowNanos);
    }
}
