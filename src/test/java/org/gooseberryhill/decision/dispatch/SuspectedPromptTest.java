package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.promptpart.CrashedRun;
import org.gooseberryhill.decision.promptpart.EndpointCrash;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.PermitAnswer;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests how requests are sent whose prompts have a part that was in flight at crashes. */
class SuspectedPromptTest {
    private static final Route RESUMABLE = DispatchFixture.route(RouteKind.STREAM, true, 5);
    private static final ServiceVersion V1 = new ServiceVersion(DispatchFixture.SERVICE, "v1");
    private static final Prompt PROMPT =
            new Prompt("m", 10, 10, List.of(new PromptPart("a", 5), new PromptPart("own", 5)));
    private static final Set<PromptPartKey> PARTS = Set.of(new PromptPartKey(V1, "m", "a"));
    private static final IsolationPermit ANYWHERE = new IsolationPermit(PARTS, Optional.empty());

    private final DispatchFixture fixture = new DispatchFixture(4);
    private int crashes;

    @Test
    void aSuspectedRequestIsSentOnceItHasAPermit() {
        crash(1);
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));

        DispatchDecision.AskPermit ask = (DispatchDecision.AskPermit) fixture.dispatch(request);

        assertThat(ask.parts()).isEqualTo(PARTS);
        assertThat(ask.confined()).isFalse();
        assertThat(answered(request, PermitAnswer.granted(ANYWHERE))).isInstanceOf(DispatchDecision.Send.class);
    }

    @Test
    void aRequestWithoutTheSuspectedPartIsSentAtOnce() {
        crash(2);
        Prompt other = new Prompt("m", 10, 10, List.of(new PromptPart("b", 5), new PromptPart("own", 5)));

        assertThat(fixture.dispatch(fixture.arrive(RESUMABLE, Optional.of(other))))
                .isInstanceOf(DispatchDecision.Send.class);
    }

    /** Guards against sound requests that are refused since the host that grants permits is lost. */
    @Test
    void aSuspectedRequestIsSentWhenNobodyGrantsPermits() {
        crash(1);
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
        fixture.dispatch(request);

        assertThat(answered(request, PermitAnswer.UNANSWERED)).isInstanceOf(DispatchDecision.Send.class);
    }

    @Test
    void aNewRequestWithoutAPermitIsRefusedAsNotRun() {
        crash(1);
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
        fixture.dispatch(request);

        Refusal refusal = refusal(answered(request, PermitAnswer.DENIED));

        assertThat(refusal.code()).isEqualTo(ErrorCode.QUARANTINED);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal.retryAfterMillis()).isPresent();
    }

    @Test
    void aConfinedRequestIsSentToTheEndpointOfItsPermitOnly() {
        crash(2);
        for (int i = 0; i < 20; i++) {
            RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
            DispatchDecision.AskPermit ask = (DispatchDecision.AskPermit) fixture.dispatch(request);
            EndpointKey chosen = ask.endpoints().get(i % 4);
            IsolationPermit permit = new IsolationPermit(PARTS, Optional.of(chosen));

            DispatchDecision.Send send = (DispatchDecision.Send) answered(request, PermitAnswer.granted(permit));

            assertThat(ask.confined()).isTrue();
            assertThat(send.endpoint().key()).isEqualTo(chosen);
        }
    }

    /** Guards against requests that crash endpoints while the host that grants permits is lost. */
    @Test
    void aConfinedRequestIsRefusedWhenNobodyGrantsPermits() {
        crash(2);
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
        fixture.dispatch(request);

        assertThat(refusal(answered(request, PermitAnswer.UNANSWERED)).code()).isEqualTo(ErrorCode.QUARANTINED);
    }

    @Test
    void aRequestWithABlockedPartIsRefusedAtOnce() {
        crash(3);

        Refusal refusal = refusal(fixture.dispatch(fixture.arrive(RESUMABLE, Optional.of(PROMPT))));

        assertThat(refusal.code()).isEqualTo(ErrorCode.QUARANTINED);
        assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refusal.retryAfterMillis().orElseThrow()).isGreaterThan(60_000);
    }

    /** Guards against a second endpoint that is lost to the retry of the request that crashed the first. */
    @Test
    void aRequestIsNotSentAgainWithoutAPermitAfterItsEndpointCrashed() {
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
        fixture.dispatch(request);
        fixture.core.failureRecorded(request, AttemptEnd.CUT, fixture.nowNanos);
        crash(1);

        assertThat(fixture.core.decideAfterFailure(request, AttemptEnd.CUT, fixture.nowNanos))
                .isInstanceOf(DispatchDecision.AskPermit.class);
    }

    /** Guards against an answer that is given up although the permit that it needs is returned soon. */
    @Test
    void aRequestThatWasSentBeforeWaitsForAPermit() {
        RoutedRequest request = fixture.arrive(RESUMABLE, Optional.of(PROMPT));
        fixture.dispatch(request);
        fixture.core.failureRecorded(request, AttemptEnd.CUT, fixture.nowNanos);
        crash(1);
        fixture.core.decideAfterFailure(request, AttemptEnd.CUT, fixture.nowNanos);

        DispatchDecision decision = answered(request, PermitAnswer.DENIED);
        assertThat(decision).isInstanceOf(DispatchDecision.Wait.class);
        fixture.advanceMillis(50);
        assertThat(fixture.core.dispatchAfterWait(request, fixture.nowNanos))
                .isInstanceOf(DispatchDecision.AskPermit.class);
        fixture.advanceMillis(2000);

        assertThat(refusal(answered(request, PermitAnswer.DENIED)).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    /** Guards against a request that is sent since its part was blocked while a coordinator chose its endpoint. */
    @Test
    void aRequestWhosePartIsBlockedWhileItIsPlacedIsRefused() {
        DispatchFixture asking = new DispatchFixture(2, new OneGroup(List.of(DispatchFixture.entry("e0", 1, false))));
        RoutedRequest request = asking.arrive(RESUMABLE, Optional.of(PROMPT));
        assertThat(asking.dispatch(request)).isInstanceOf(DispatchDecision.AskGroup.class);
        for (int i = 0; i < 3; i++) {
            crash(asking);
        }

        DispatchDecision decision = asking.core.placementAnswered(
                request,
                new PlacementAnswer.Placed(DispatchFixture.key("e0"), new PlacementFacts(4, 0, 0, 8, 0)),
                asking.nowNanos);

        assertThat(refusal(decision).code()).isEqualTo(ErrorCode.QUARANTINED);
    }

    @Test
    void aRequestGoesToTheVersionThatServesItsPart() {
        fixture.fleet.updateDirectory(List.of(entry("e0", "v1"), entry("e1", "v1"), entry("e2", "v2")));
        crash(3);
        ServiceVersion v2 = new ServiceVersion(DispatchFixture.SERVICE, "v2");
        fixture.parts.answered(PROMPT, v2, fixture.nowNanos, fixture.nowNanos);
        for (int i = 0; i < 8; i++) {
            DispatchDecision.Send send =
                    (DispatchDecision.Send) fixture.dispatch(fixture.arrive(RESUMABLE, Optional.of(PROMPT)));

            assertThat(send.endpoint().softwareVersion()).isEqualTo("v2");
        }
    }

    private void crash(int times) {
        for (int i = 0; i < times; i++) {
            crash(fixture);
        }
    }

    private void crash(DispatchFixture crashing) {
        crashing.advanceMillis(200);
        CrashedRun run = CrashedRun.of(PROMPT, V1, crashing.nowNanos - TimeUnit.MILLISECONDS.toNanos(100))
                .orElseThrow();
        EndpointKey endpoint = new EndpointKey("crashed-" + crashes++, 1);
        crashing.parts.endpointCrashed(
                new EndpointCrash(endpoint, new HostId("h"), crashing.nowNanos, List.of(run)), crashing.nowNanos);
    }

    private DispatchDecision answered(RoutedRequest request, PermitAnswer answer) {
        return fixture.core.permitAnswered(request, answer, fixture.nowNanos);
    }

    private static Refusal refusal(DispatchDecision decision) {
        return ((DispatchDecision.Refuse) decision).refusal();
    }

    private static EndpointEntry entry(String id, String version) {
        return DispatchFixture.entry(id, 1, false, version);
    }

    /** Selects one group of endpoints, once for each request. */
    private record OneGroup(List<EndpointEntry> entries) implements GroupSelector {
        private static final EndpointGroup GROUP = new EndpointGroup(DispatchFixture.SERVICE, 0);

        @Override
        public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
            return asked.isEmpty() ? Optional.of(GROUP) : Optional.empty();
        }

        @Override
        public List<EndpointEntry> members(EndpointGroup group) {
            return new ArrayList<>(entries);
        }
    }
}
