package org.gooseberryhill.decision.zone;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class LeaveWhenItPaysTest {
    private static final String SERVICE = "s";
    private static final AvailabilityZone A = new AvailabilityZone("a");
    private static final AvailabilityZone B = new AvailabilityZone("b");
    private static final ZonePair A_TO_B = new ZonePair(SERVICE, A, B);
    private static final HostId ASKING = new HostId("asking");
    private static final ZoneLoad FULL = new ZoneLoad(240, 240);
    private static final long PRICE_MILLIS = 5;
    private static final long ROUND_TRIP_MILLIS = 2;

    private final EndpointGroups groups = groups(30);
    private final EndpointGroup group = groups.inZone(SERVICE, A).get(0);
    private final List<EndpointGroup> others = groups.inZone(SERVICE, B);
    private final LeaveWhenItPays policy = new LeaveWhenItPays(new CrossingCost(() -> PRICE_MILLIS));
    private long nowNanos = TimeUnit.SECONDS.toNanos(10);

    /** Guards against traffic between zones that costs more than it saves. */
    @Test
    void aRequestLeavesOnlyIfItWouldWaitForLongerThanTheRoundTripAndThePriceTogether() {
        granted(others, 3);

        assertThat(choose(ROUND_TRIP_MILLIS + PRICE_MILLIS)).isEmpty();
        assertThat(choose(ROUND_TRIP_MILLIS + PRICE_MILLIS + 1))
                .hasValueSatisfying(to -> assertThat(others).contains(to));
    }

    @Test
    void noMoreRequestsLeaveThanWereGranted() {
        granted(others, 3);

        for (int i = 0; i < 3 * others.size(); i++) {
            assertThat(choose(100)).isPresent();
        }
        assertThat(choose(100)).isEmpty();
    }

    /** Guards against requests for a zone whose coordinators are lost or cut off. */
    @Test
    void aGrantEndsHalfASecondAfterTheQuestion() {
        granted(others, 3);

        advanceMillis(499);
        assertThat(choose(100)).isPresent();
        advanceMillis(1);
        assertThat(choose(100)).isEmpty();
    }

    /** Guards against two zones that send to each other, since a coordinator of the other zone was not asked or denied. */
    @Test
    void noRequestLeavesForAZoneOfWhichACoordinatorHasGrantedNothing() {
        assertThat(others).hasSize(2);
        granted(others.subList(0, 1), 3);
        assertThat(choose(100)).isEmpty();

        granted(others, 3);
        policy.answered(new RoomQuery(A_TO_B, FULL), RoomAnswer.DENIED, nowNanos, nowNanos);
        assertThat(choose(100)).isEmpty();
    }

    /** Guards against two zones that send to each other. */
    @Test
    void aCoordinatorThatHasGrantedRoomSendsNothingInTheOppositeDirectionUntilTheGrantIsOver() {
        granted(others, 3);
        assertThat(askedByB(new ZoneLoad(240, 100)).granted()).isTrue();
        assertThat(choose(100)).isEmpty();

        advanceMillis(500);
        granted(others, 3);
        assertThat(choose(100)).isPresent();
    }

    /** Guards against zones that send to each other in turn. */
    @Test
    void aCoordinatorThatHasSentRequestsGrantsNoRoomForTheOppositeDirectionForAWhile() {
        granted(others, 3);
        choose(100);

        advanceMillis(999);
        assertThat(askedByB(new ZoneLoad(240, 100)).granted()).isFalse();
        advanceMillis(1);
        assertThat(askedByB(new ZoneLoad(240, 100)).granted()).isTrue();
    }

    /** Guards against requests that make another zone fuller than their own. */
    @Test
    void aZoneGrantsRoomOnlyToAZoneThatIsClearlyFuller() {
        assertThat(askedByB(new ZoneLoad(240, 236)).granted()).isFalse();
        assertThat(askedByB(new ZoneLoad(240, 220)).granted()).isTrue();
    }

    /** Guards against a zone that is filled by all that ask it at once. */
    @Test
    void theRoomBeyondTheFluctuationIsDividedByTheNumberOfHostsThatAsk() {
        ZoneLoad load = new ZoneLoad(240, 100);
        int alone = askedByB(load).rooms().get(0).requests();
        assertThat(alone).isEqualTo(240 - 100 - 5);

        policy.answer(new HostId("another"), new RoomQuery(A_TO_B.reversed(), FULL), Map.of(group, load), nowNanos);
        assertThat(askedByB(load).rooms().get(0).requests()).isEqualTo((alone + 1) / 2);
    }

    @Test
    void aZoneAsksForRoomOnlyWhileItMaySoonBeFull() {
        assertThat(policy.sample(groups, SERVICE, A, new ZoneLoad(240, 100), nowNanos))
                .isEmpty();
        assertThat(policy.sample(groups, SERVICE, A, FULL, nowNanos)).containsExactly(new RoomQuery(A_TO_B, FULL));
    }

    /** Guards against another way to serve services with few endpoints. */
    @Test
    void requestsOfServicesWhoseGroupsSpanZonesGoToAnyGroupWithRoom() {
        EndpointGroups small = groups(11);
        EndpointGroup first = small.of(SERVICE).get(0);
        EndpointGroup second = small.of(SERVICE).get(1);

        assertThat(policy.chooseGroup(
                        new FullGroup(first, small, 1),
                        candidates -> Optional.of(candidates.get(candidates.size() - 1)),
                        nowNanos))
                .contains(second);
    }

    @Test
    void aTimeOfSendingIsLoggedOnceAtItsStartAndOnceAtItsEnd() {
        granted(others, 3);
        choose(100);
        choose(100);
        assertThat(policy.takeChanges(nowNanos))
                .containsExactly(new SendingChange(SERVICE, A, B, true, LeaveReason.WAIT_EXCEEDS_COST, 100, 7, 1));
        advanceMillis(1999);
        assertThat(policy.takeChanges(nowNanos)).isEmpty();
        advanceMillis(1);
        assertThat(policy.takeChanges(nowNanos))
                .containsExactly(new SendingChange(SERVICE, A, B, false, LeaveReason.WAIT_EXCEEDS_COST, 100, 7, 2));
    }

    private Optional<EndpointGroup> choose(double waitMillis) {
        return policy.chooseGroup(new FullGroup(group, groups, waitMillis), candidates -> Optional.empty(), nowNanos);
    }

    private void granted(List<EndpointGroup> granting, int requests) {
        List<GroupRoom> rooms = new ArrayList<>();
        granting.forEach(other -> rooms.add(new GroupRoom(other, requests)));
        long askedNanos = nowNanos;
        policy.answered(
                new RoomQuery(A_TO_B, FULL),
                new RoomAnswer(true, rooms),
                askedNanos,
                askedNanos + TimeUnit.MILLISECONDS.toNanos(ROUND_TRIP_MILLIS));
    }

    /** Asks as a coordinator of the other zone, which is full, for room in this zone, which has the given load. */
    private RoomAnswer askedByB(ZoneLoad load) {
        policy.sample(groups, SERVICE, A, load, nowNanos);
        Map<EndpointGroup, ZoneLoad> loads = new HashMap<>();
        loads.put(group, load);
        return policy.answer(ASKING, new RoomQuery(A_TO_B.reversed(), FULL), loads, nowNanos);
    }

    private void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static EndpointGroups groups(int endpointsOfZone) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (AvailabilityZone zone : List.of(A, B)) {
            for (int i = 0; i < endpointsOfZone; i++) {
                Address address = new Address("10.0.0.1", 8000 + entries.size());
                entries.add(new EndpointEntry(zone.name() + i, 1, SERVICE, "v1", address, zone, 8, false, 0));
            }
        }
        return EndpointGroups.of(entries);
    }
}
