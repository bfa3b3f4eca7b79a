package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.account.ClientAccount;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests how requests of client accounts with a quota are dispatched. */
class QuotaDispatchTest {
    private static final EndpointGroup GROUP = new EndpointGroup(DispatchFixture.SERVICE, 0);
    private static final Route SAFE = DispatchFixture.route(RouteKind.SAFE, false, 2);
    private static final Caller LIMITED = caller(Optional.of(new AccountQuota(5, 5)));
    private static final Caller UNLIMITED = caller(Optional.empty());
    private static final PlacementFacts FACTS = new PlacementFacts(1, 0, 0, 8, 0);

    private final DispatchFixture fixture = new DispatchFixture(2, new OneGroup());

    @Test
    void theCoordinatorIsToldTheAccountOfARequestThatHasNotBeenCounted() {
        assertThat(query(fixture.dispatch(arrive(LIMITED))).account()).contains("studio");
        assertThat(query(fixture.dispatch(arrive(UNLIMITED))).account()).isEmpty();
    }

    /** Guards against a request that counts twice because its first endpoint failed. */
    @Test
    void aRequestCountsOnceHoweverOftenItIsSent() {
        RoutedRequest request = arrive(LIMITED);
        fixture.dispatch(request);
        fixture.core.placementAnswered(
                request, new PlacementAnswer.Placed(DispatchFixture.key("e0"), FACTS), fixture.nowNanos);

        DispatchDecision second = fixture.failed(request, AttemptEnd.CUT);

        assertThat(query(second).account()).isEmpty();
    }

    @Test
    void aRequestOverTheQuotaIsRefusedAsNotRunWithTheTimeToComeBack() {
        RoutedRequest request = arrive(LIMITED);
        fixture.dispatch(request);

        DispatchDecision decision =
                fixture.core.placementAnswered(request, new PlacementAnswer.OverQuota(420), fixture.nowNanos);

        assertThat(((DispatchDecision.Refuse) decision).refusal())
                .satisfies(refusal -> assertThat(refusal.code()).isEqualTo(ErrorCode.LIMITED))
                .satisfies(refusal -> assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN))
                .satisfies(refusal -> assertThat(refusal.retryAfterMillis()).contains(420L));
    }

    /** Guards against a quota that does not bind while the coordinators of endpoints are slow. */
    @Test
    void aHostThatPlacesARequestItselfAsksForItsAdmissionFirst() {
        RoutedRequest request = arrive(LIMITED);
        fixture.dispatch(request);

        DispatchDecision unplaced = fixture.core.placeWithoutAnswer(request, fixture.nowNanos);
        DispatchDecision admitted =
                fixture.core.admissionAnswered(request, Optional.of(new Admission(Optional.empty())), fixture.nowNanos);

        assertThat(unplaced).isEqualTo(new DispatchDecision.AskAdmission("studio"));
        assertThat(admitted).isInstanceOf(DispatchDecision.Send.class);
        assertThat(request.isCountedAgainstQuota()).isTrue();
    }

    @Test
    void aRequestIsRefusedAsNotRunIfNobodyCanTellWhetherItMayRun() {
        RoutedRequest request = arrive(LIMITED);
        fixture.dispatch(request);
        fixture.core.placeWithoutAnswer(request, fixture.nowNanos);

        DispatchDecision decision = fixture.core.admissionAnswered(request, Optional.empty(), fixture.nowNanos);

        assertThat(((DispatchDecision.Refuse) decision).refusal())
                .satisfies(refusal -> assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN))
                .satisfies(refusal -> assertThat(refusal.retryAfterMillis()).isPresent());
    }

    @Test
    void aHostPlacesARequestWithoutAQuotaItself() {
        RoutedRequest request = arrive(UNLIMITED);
        fixture.dispatch(request);

        assertThat(fixture.core.placeWithoutAnswer(request, fixture.nowNanos))
                .isInstanceOf(DispatchDecision.Send.class);
    }

    private RoutedRequest arrive(Caller caller) {
        return fixture.arrive(SAFE, Optional.empty(), caller);
    }

    private static PlacementQuery query(DispatchDecision decision) {
        return ((DispatchDecision.AskGroup) decision).query();
    }

    private static Caller caller(Optional<AccountQuota> quota) {
        return Caller.of(new ClientAccount("studio", Set.of(), quota));
    }

    /** Has one group of endpoints, whose coordinator is asked once for each attempt. */
    private static final class OneGroup implements GroupSelector {
        @Override
        public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
            return asked.isEmpty() ? Optional.of(GROUP) : Optional.empty();
        }

        @Override
        public List<EndpointEntry> members(EndpointGroup group) {
            return List.of();
        }
    }
}
