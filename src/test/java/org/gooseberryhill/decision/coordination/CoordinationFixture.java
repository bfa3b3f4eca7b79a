package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.ObservedEndpointSpeeds;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.decision.dispatch.RequestPlacer;
import org.gooseberryhill.decision.quota.EqualSharesQuota;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/** A coordinator of the endpoints of one service in virtual time. */
final class CoordinationFixture {
    static final String SERVICE = "s";
    static final AvailabilityZone ZONE = new AvailabilityZone("a");
    static final EndpointGroup GROUP = new EndpointGroup(SERVICE, 0);
    static final HostId OWNER = new HostId("owner");
    static final HostId OTHER = new HostId("other");
    private static final long TARGET_MILLIS = 300;

    final SlotCoordinator coordinator;
    final EndpointGroups groups;
    long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private long lastRun;

    CoordinationFixture(int endpoints, int slots) {
        coordinator = new SlotCoordinator(
                new RequestPlacer(DispatchPolicies.defaults(new Random(1)), new ObservedEndpointSpeeds()),
                new FluctuationReserve(),
                new EqualSharesQuota(),
                new FeasibleFirstOrder(),
                0);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            entries.add(new EndpointEntry(
                    "e" + i, 1, SERVICE, "v1", new Address("10.0.0.1", 8000 + i), ZONE, slots, false, 0));
        }
        groups = EndpointGroups.of(entries);
        coordinator.updateDirectory(groups, entries);
    }

    void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    PlacementReply place(HostId host) {
        return place(host, true);
    }

    PlacementReply place(HostId host, boolean refusable) {
        PlacementQuery query = new PlacementQuery(
                SERVICE,
                ZONE,
                Optional.empty(),
                Set.of(),
                Set.of(),
                TARGET_MILLIS,
                5000,
                refusable,
                true,
                Optional.empty());
        return coordinator.place(host, GROUP, query, nowNanos);
    }

    EndpointKey placed(HostId host) {
        return ((PlacementAnswer.Placed) place(host, false).answer()).endpoint();
    }

    void ended(HostId host, EndpointKey endpoint) {
        coordinator.onlineEnded(
                host,
                endpoint,
                AttemptEnd.ANSWERED,
                AttemptTiming.ofDuration(TimeUnit.MILLISECONDS.toNanos(500)),
                nowNanos);
    }

    /** Records the end of a request whose events came at the given intervals, without a placement. */
    void ended(EndpointKey endpoint, AttemptEnd end, long eventMillis) {
        AttemptTiming timing = new AttemptTiming(
                TimeUnit.MILLISECONDS.toNanos(20 * eventMillis), TimeUnit.MILLISECONDS.toNanos(eventMillis));
        coordinator.onlineEnded(OWNER, endpoint, end, timing, nowNanos);
    }

    /** Announces items with the given slacks, in milliseconds. */
    void announce(HostId owner, long lastReservation, long... slacksMillis) {
        List<ItemTiming> timings = new ArrayList<>();
        for (long slackMillis : slacksMillis) {
            timings.add(timing(slackMillis));
        }
        coordinator.itemsWaiting(owner, new WaitingItems(SERVICE, lastReservation, timings), nowNanos);
    }

    List<CoordinatorCommand> assign() {
        return coordinator.assign(group -> true, nowNanos);
    }

    List<CoordinatorCommand.Grant> grants() {
        return assign().stream()
                .filter(CoordinatorCommand.Grant.class::isInstance)
                .map(CoordinatorCommand.Grant.class::cast)
                .toList();
    }

    /** Starts an item in a granted slot and returns the number of its run. */
    long start(CoordinatorCommand.Grant grant, long slackMillis) {
        lastRun++;
        coordinator.itemStarted(
                grant.owner(),
                new ItemStart(grant.reservation(), lastRun, grant.endpoint(), timing(slackMillis)),
                nowNanos);
        return lastRun;
    }

    static ItemTiming timing(long slackMillis) {
        return new ItemTiming(slackMillis + 5000, 5000, 5000, false);
    }
}
