package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

/** Tests the dispatch of a host that asks coordinators for endpoints. */
class AskedPlacementTest {
    private static final Route SAFE = DispatchFixture.route(RouteKind.SAFE, false, 3);
    private static final PlacementFacts FACTS = new PlacementFacts(2, 1, 0, 8, 0);
    private static final EndpointKey E1 = DispatchFixture.key("e1");

    private final FixedGroups groups = new FixedGroups();
    private final DispatchFixture fixture = new DispatchFixture(4, groups);
    private final RoutedRequest request = fixture.arrive(SAFE);

    @Test
    void aRequestGoesWhereTheCoordinatorSays() {
        DispatchDecision.AskGroup ask = (DispatchDecision.AskGroup) fixture.dispatch(request);
        DispatchDecision.Send send = (DispatchDecision.Send) answered(new PlacementAnswer.Placed(E1, FACTS));

        assertThat(ask.group()).isEqualTo(FixedGroups.FIRST);
        assertThat(send.endpoint().key()).isEqualTo(E1);
        assertThat(send.assigned()).isTrue();
    }

    /** Guards against a request that a lost coordinator holds up: another group is asked, then the host chooses itself. */
    @Test
    void withoutAnAnswerTheNextGroupIsAskedAndThenTheHostChoosesItself() {
        fixture.dispatch(request);
        DispatchDecision second = fixture.core.placeWithoutAnswer(request, fixture.nowNanos);
        DispatchDecision third = fixture.core.placeWithoutAnswer(request, fixture.nowNanos);

        assertThat(((DispatchDecision.AskGroup) second).group()).isEqualTo(FixedGroups.SECOND);
        assertThat(((DispatchDecision.Send) third).assigned()).isFalse();
    }

    @Test
    void aCoordinatorWithoutRoomNamesAnotherGroup() {
        fixture.dispatch(request);

        DispatchDecision decision = answered(new PlacementAnswer.Elsewhere(FixedGroups.SECOND));

        assertThat(((DispatchDecision.AskGroup) decision).group()).isEqualTo(FixedGroups.SECOND);
    }

    /** Guards against a request that two coordinators send to each other for ever. */
    @Test
    void aGroupIsAskedOnceForEachAttempt() {
        fixture.dispatch(request);
        answered(new PlacementAnswer.Elsewhere(FixedGroups.SECOND));

        DispatchDecision decision = answered(new PlacementAnswer.Elsewhere(FixedGroups.FIRST));

        assertThat(decision).isInstanceOf(DispatchDecision.Send.class);
    }

    @Test
    void anOverloadedCoordinatorHasTheRequestRefusedAtOnceWithItsRetryTime() {
        fixture.dispatch(request);

        DispatchDecision decision = answered(new PlacementAnswer.Overloaded(123, new OverloadFacts(400, 200, 700)));

        DispatchDecision.Refuse refuse = (DispatchDecision.Refuse) decision;
        assertThat(refuse.refusal().code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refuse.refusal().retryAfterMillis()).contains(123L);
        assertThat(refuse.overload()).isPresent();
    }

    /** Guards against work for an endpoint that leaves: the coordinator may not have heard of it yet. */
    @Test
    void anAssignedEndpointThatIsLeavingByTheHostsOwnViewIsNotUsed() {
        fixture.dispatch(request);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            entries.add(DispatchFixture.entry("e" + i, 1, i == 1));
        }
        fixture.fleet.updateDirectory(entries);

        DispatchDecision decision = answered(new PlacementAnswer.Placed(E1, FACTS));

        assertThat(((DispatchDecision.AskGroup) decision).group()).isEqualTo(FixedGroups.SECOND);
    }

    @Test
    void aFailedAttemptExcludesItsEndpointFromTheNextQuestion() {
        fixture.dispatch(request);
        answered(new PlacementAnswer.Placed(E1, FACTS));

        DispatchDecision.AskGroup ask = (DispatchDecision.AskGroup) fixture.failed(request, AttemptEnd.BUSY);

        assertThat(ask.query().excluded()).contains(E1);
        assertThat(ask.query().refusable()).isFalse();
    }

    private DispatchDecision answered(PlacementAnswer answer) {
        return fixture.core.placementAnswered(request, answer, fixture.nowNanos);
    }

    /** Two groups of two endpoints each. */
    private static final class FixedGroups implements GroupSelector {
        private static final EndpointGroup FIRST = new EndpointGroup(DispatchFixture.SERVICE, 0);
        private static final EndpointGroup SECOND = new EndpointGroup(DispatchFixture.SERVICE, 1);

        @Override
        public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
            return List.of(FIRST, SECOND).stream()
                    .filter(group -> !asked.contains(group))
                    .findFirst();
        }

        @Override
        public List<EndpointEntry> members(EndpointGroup group) {
            int first = 2 * group.number();
            return List.of(
                    DispatchFixture.entry("e" + first, 1, false), DispatchFixture.entry("e" + (first + 1), 1, false));
        }
    }
}
