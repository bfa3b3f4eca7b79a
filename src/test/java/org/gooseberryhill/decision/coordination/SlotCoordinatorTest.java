package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class SlotCoordinatorTest {
    private static final EndpointKey E0 = new EndpointKey("e0", 1);

    private final CoordinationFixture fixture = new CoordinationFixture(2, 4);

    /** Guards against a coordinator that has replaced a lost one and fails at the end of a run that it never heard of. */
    @Test
    void theEndOfARunOfAnUnknownOwnerChangesNothing() {
        CoordinationFixture unknown = new CoordinationFixture(1, 2);

        unknown.coordinator.itemEnded(CoordinationFixture.OWNER, 7, AttemptEnd.ANSWERED, unknown.nowNanos);

        assertThat(unknown.grants()).isEmpty();
    }

    /** Guards against two hosts that choose the same free slot by reports that cross. */
    @Test
    void requestsOfAllHostsFillEachSlotOnceBeforeAnyWaits() {
        Map<EndpointKey, Integer> placed = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            placed.merge(
                    fixture.placed(i % 2 == 0 ? CoordinationFixture.OWNER : CoordinationFixture.OTHER),
                    1,
                    Integer::sum);
        }

        assertThat(placed)
                .hasSize(2)
                .allSatisfy((endpoint, count) -> assertThat(count).isEqualTo(4));
    }

    @Test
    void itemsNeverGetMoreThanTheFreeSlots() {
        fixture.placed(CoordinationFixture.OTHER);
        fixture.announce(CoordinationFixture.OWNER, 0, 9000, 9000, 9000, 9000, 9000, 9000, 9000, 9000, 9000);

        assertThat(fixture.grants()).hasSize(6);
        assertThat(fixture.grants()).isEmpty();
    }

    /** Guards against several items that stop for one request, because each owner stops one of its own. */
    @Test
    void oneItemYieldsForARequestThatFindsNoFreeSlot() {
        fixture.announce(CoordinationFixture.OWNER, 0, 9000, 9000, 9000, 9000);
        fixture.announce(CoordinationFixture.OTHER, 0, 9000, 9000, 9000, 9000);
        fixture.grants().forEach(grant -> fixture.start(grant, 9000));

        fixture.placed(CoordinationFixture.OWNER);
        List<CoordinatorCommand> commands = new ArrayList<>(fixture.assign());
        commands.addAll(fixture.assign());

        assertThat(commands).hasSize(1);
        assertThat(((CoordinatorCommand.Yield) commands.get(0)).runs()).hasSize(1);
    }

    @Test
    void theItemThatCanWaitLongestYieldsFirst() {
        CoordinationFixture single = new CoordinationFixture(1, 3);
        single.announce(CoordinationFixture.OWNER, 0, 9000, 9000, 9000);
        List<CoordinatorCommand.Grant> grants = single.grants();
        single.start(grants.get(0), 3000);
        long patientRun = single.start(grants.get(1), 12_000);
        single.start(grants.get(2), 500);

        single.placed(CoordinationFixture.OTHER);

        assertThat(single.assign())
                .containsExactly(new CoordinatorCommand.Yield(CoordinationFixture.OWNER, List.of(patientRun)));
    }

    /** Guards against an item that yields for a request which was placed while its grant was on the way. */
    @Test
    void aRequestThatTakesTheSlotOfAGrantOnTheWayMakesTheItemYieldOnceItStarts() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        single.announce(CoordinationFixture.OWNER, 0, 9000);
        CoordinatorCommand.Grant grant = single.grants().get(0);
        single.placed(CoordinationFixture.OTHER);
        assertThat(single.assign()).isEmpty();

        long run = single.start(grant, 9000);

        assertThat(single.assign())
                .containsExactly(new CoordinatorCommand.Yield(CoordinationFixture.OWNER, List.of(run)));
    }

    /** Guards against a slot that is assigned twice, since a report that was sent before the assignment does not have it. */
    @Test
    void aReportDoesNotCancelAnAssignmentThatTheHostHadNotReceived() {
        CoordinationFixture single = new CoordinationFixture(1, 2);
        PlacementReply first = single.place(CoordinationFixture.OTHER);
        single.place(CoordinationFixture.OTHER);

        single.coordinator.report(
                CoordinationFixture.OTHER,
                new HostWork(first.reservation(), Map.of(E0, 1), List.of()),
                single.nowNanos);
        single.announce(CoordinationFixture.OWNER, 0, 9000);

        assertThat(single.grants()).isEmpty();
    }

    /** Guards against a slot that is lost for ever with the message about the end of its request. */
    @Test
    void aReportFreesTheSlotsOfRequestsWhoseEndWasNotHeard() {
        CoordinationFixture single = new CoordinationFixture(1, 2);
        single.place(CoordinationFixture.OTHER);
        long last = single.place(CoordinationFixture.OTHER).reservation();

        single.coordinator.report(CoordinationFixture.OTHER, new HostWork(last, Map.of(), List.of()), single.nowNanos);
        single.announce(CoordinationFixture.OWNER, 0, 9000, 9000);

        assertThat(single.grants()).hasSize(2);
    }

    @Test
    void anAssignmentThatNeverReachedItsHostEndsAfterTwoReports() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        single.place(CoordinationFixture.OTHER);
        single.advanceMillis(2500);

        single.coordinator.report(CoordinationFixture.OTHER, new HostWork(0, Map.of(), List.of()), single.nowNanos);
        single.announce(CoordinationFixture.OWNER, 0, 9000);

        assertThat(single.grants()).hasSize(1);
    }

    /** Guards against slots that stay empty because their grant was lost or its owner stopped. */
    @Test
    void aGrantThatIsNotUsedInTimeGoesToAnother() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        single.announce(CoordinationFixture.OWNER, 0, 1000);
        single.announce(CoordinationFixture.OTHER, 0, 9000);
        assertThat(single.grants().get(0).owner()).isEqualTo(CoordinationFixture.OWNER);

        single.advanceMillis(600);

        assertThat(single.grants().get(0).owner()).isEqualTo(CoordinationFixture.OTHER);
    }

    @Test
    void aReturnedGrantGoesToAnother() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        single.announce(CoordinationFixture.OWNER, 0, 1000);
        single.announce(CoordinationFixture.OTHER, 0, 9000);
        CoordinatorCommand.Grant grant = single.grants().get(0);

        single.coordinator.grantReturned(CoordinationFixture.OWNER, grant.reservation(), single.nowNanos);

        assertThat(single.grants().get(0).owner()).isEqualTo(CoordinationFixture.OTHER);
    }

    /** Guards against two grants for one item: its owner announced it again before the first grant arrived. */
    @Test
    void anItemThatIsAnnouncedAgainWhileItsGrantIsOnTheWayGetsNoSecondOne() {
        fixture.announce(CoordinationFixture.OWNER, 0, 9000);
        assertThat(fixture.grants()).hasSize(1);

        fixture.announce(CoordinationFixture.OWNER, 0, 9000);

        assertThat(fixture.grants()).isEmpty();
    }

    /** Guards against slots that stay taken for requests of a host that is gone. */
    @Test
    void theSlotsOfALostHostAreFree() {
        CoordinationFixture single = new CoordinationFixture(1, 2);
        single.place(CoordinationFixture.OTHER);
        single.announce(CoordinationFixture.OTHER, 0, 9000);
        single.grants().forEach(grant -> single.start(grant, 9000));

        single.coordinator.removeHost(CoordinationFixture.OTHER);
        single.announce(CoordinationFixture.OWNER, 0, 9000, 9000);

        assertThat(single.grants()).hasSize(2).allMatch(grant -> grant.owner().equals(CoordinationFixture.OWNER));
    }

    /** A new coordinator learns of runs from reports, and has them yield by the same order. */
    @Test
    void aCoordinatorThatTakesOverLetsReportedItemsYield() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        ItemStart start = new ItemStart(0, 7, E0, CoordinationFixture.timing(9000));
        single.coordinator.report(
                CoordinationFixture.OWNER, new HostWork(0, Map.of(), List.of(start)), single.nowNanos);

        single.placed(CoordinationFixture.OTHER);

        assertThat(single.assign())
                .containsExactly(new CoordinatorCommand.Yield(CoordinationFixture.OWNER, List.of(7L)));
    }

    /** Guards against a full group whose requests wait while another group has free slots. */
    @Test
    void aRequestThatWouldWaitIsSentToAGroupWithRoom() {
        CoordinationFixture large = new CoordinationFixture(20, 2);
        EndpointGroup second = new EndpointGroup(CoordinationFixture.SERVICE, 1);
        large.coordinator.groupLoads(List.of(new GroupLoad(second, 20, 4)), large.nowNanos);
        List<PlacementAnswer> answers = new ArrayList<>();
        for (int i = 0; i < 21; i++) {
            answers.add(large.place(CoordinationFixture.OTHER).answer());
        }

        assertThat(answers.subList(0, 20)).allMatch(PlacementAnswer.Placed.class::isInstance);
        assertThat(answers.get(20)).isEqualTo(new PlacementAnswer.Elsewhere(second));
    }

    /** Guards against all requests of a full group that rush to the same other group until its next load is known. */
    @Test
    void noMoreRequestsAreSentToAnotherGroupThanItHasRoomFor() {
        CoordinationFixture large = new CoordinationFixture(20, 2);
        EndpointGroup second = new EndpointGroup(CoordinationFixture.SERVICE, 1);
        large.coordinator.groupLoads(List.of(new GroupLoad(second, 20, 9)), large.nowNanos);
        int redirected = 0;
        for (int i = 0; i < 60; i++) {
            redirected += large.place(CoordinationFixture.OTHER).answer() instanceof PlacementAnswer.Elsewhere ? 1 : 0;
        }

        assertThat(redirected).isBetween(1, 11);
    }

    @Test
    void aRequestThatWouldWaitForTooLongIsRefusedUnlessAnEndpointHasHadIt() {
        CoordinationFixture single = new CoordinationFixture(1, 1);
        for (int i = 0; i < 20; i++) {
            single.place(CoordinationFixture.OTHER, false);
        }

        assertThat(single.place(CoordinationFixture.OTHER, true).answer())
                .isInstanceOf(PlacementAnswer.Overloaded.class);
        assertThat(single.place(CoordinationFixture.OTHER, false).answer()).isInstanceOf(PlacementAnswer.Placed.class);
    }

    /** Guards against an endpoint that fails for all hosts, and that each of them has to find out for itself. */
    @Test
    void failuresThatDifferentHostsReportEjectAnEndpointForAll() {
        for (String host : new String[] {"a", "b", "c"}) {
            fixture.coordinator.onlineEnded(
                    new HostId(host), E0, AttemptEnd.CUT, AttemptTiming.ofDuration(0), fixture.nowNanos);
        }

        for (int i = 0; i < 4; i++) {
            assertThat(fixture.placed(CoordinationFixture.OTHER)).isNotEqualTo(E0);
        }
    }

    /** Guards against a coordinator that grants slots of a group which another host has taken over. */
    @Test
    void slotsOfGroupsThatAnotherHostCoordinatesAreNotGranted() {
        fixture.announce(CoordinationFixture.OWNER, 0, 9000);

        assertThat(fixture.coordinator.assign(Set.<EndpointGroup>of()::contains, fixture.nowNanos))
                .isEmpty();
        assertThat(fixture.grants()).hasSize(1);
    }

    /** Guards against a successor that fails at the end of a run which only its predecessor knew. */
    @Test
    void theEndOfARunOfAnUnknownOwnerIsIgnored() {
        fixture.coordinator.itemEnded(CoordinationFixture.OWNER, 7, AttemptEnd.ANSWERED, fixture.nowNanos);

        fixture.announce(CoordinationFixture.OWNER, 0, 9000);
        assertThat(fixture.grants()).hasSize(1);
    }
}
