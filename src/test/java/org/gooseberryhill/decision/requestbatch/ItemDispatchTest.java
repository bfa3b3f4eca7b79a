package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.ClientLimits;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

/** Tests which items use the slots of endpoints while two software versions serve. */
class ItemDispatchTest {
    private static final EndpointEntry V1 = entry("e0", "v1", false);
    private static final EndpointEntry V2 = entry("e1", "v2", false);

    /** About half of what an item generates before its run time is known. */
    private static final int LONG_OUTPUT_CHARACTERS = 4000;

    private final Fleet fleet = new Fleet();
    private final BatchRoutes routes = new BatchRoutes();
    private final ItemDispatch dispatch = new ItemDispatch(
            fleet, routes, new FeasibleFirstOrder(), new RestartAfterEqualWait(), ItemQuarantine.none());
    private long nowMillis = 1000;

    ItemDispatchTest() {
        fleet.updateDirectory(List.of(V1, V2));
        routes.configure(new RouteTable(new RouteConfiguration(1, List.of(route()), Map.of(), ClientLimits.DEFAULT)));
    }

    @Test
    void anItemGoesOnAtItsVersionAndLeavesOtherSlotsToOtherItems() {
        OwnedBatch batch = BatchFixture.batch(2);
        ItemProgress begun = beginAt(V1, batch);

        PlacedItem atV2 = start(V2, batch).orElseThrow();
        PlacedItem atV1 = start(V1, batch).orElseThrow();

        assertThat(atV2.item()).isNotSameAs(begun);
        assertThat(atV1.item()).isSameAs(begun);
        assertThat(begun.lastEventId()).contains(1L);
    }

    @Test
    void aSlotOfAnotherVersionIsNotUsedWhileOnlyBegunItemsWait() {
        OwnedBatch batch = BatchFixture.batch(1);
        beginAt(V1, batch);

        assertThat(start(V2, batch)).isEmpty();
        assertThat(start(V1, batch)).isPresent();
    }

    /** Guards against an item that is never done because its version has no free slot. */
    @Test
    void anItemStartsAnewAtAnotherVersionOnceItHasWaitedForAsLongAsItsOutputTook() {
        OwnedBatch batch = BatchFixture.batch(1);
        ItemProgress item = beginAt(V1, batch);
        assertThat(start(V2, batch)).isEmpty();
        nowMillis += 1000;
        assertThat(start(V2, batch)).isEmpty();

        nowMillis += 1200;

        assertThat(start(V2, batch)).isPresent();
        assertThat(item.lastEventId()).isEmpty();
    }

    /** Guards against an item that waits for a version that is not coming back. */
    @Test
    void anItemStartsAnewAtOnceWhenNoEndpointOfItsVersionStays() {
        OwnedBatch batch = BatchFixture.batch(1);
        beginAt(V1, batch);
        fleet.updateDirectory(List.of(entry("e0", "v1", true), V2));

        assertThat(start(V2, batch)).isPresent();
    }

    private ItemProgress beginAt(EndpointEntry endpoint, OwnedBatch batch) {
        PlacedItem run = start(endpoint, batch).orElseThrow();
        run.item().appendEvent(Optional.of(1L), "x".repeat(LONG_OUTPUT_CHARACTERS));
        dispatch.runEnded(run, RunEnd.YIELDED, AttemptEnd.ABANDONED, nowNanos());
        return run.item();
    }

    private Optional<PlacedItem> start(EndpointEntry endpoint, OwnedBatch batch) {
        return dispatch.startAt(endpoint, 0, List.of(batch), nowNanos(), nowMillis);
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private static EndpointEntry entry(String id, String version, boolean leaving) {
        return new EndpointEntry(
                id, 1, "s", version, new Address("10.0.0.1", 8000), new AvailabilityZone("a"), 4, leaving, 0);
    }

    private static Route route() {
        return new Route(
                "r",
                "h",
                "/b/",
                RouteKind.BATCH,
                List.of(new RouteTarget("s", 1)),
                0,
                0,
                3,
                1,
                true,
                true,
                0,
                18_000,
                60_000,
                false);
    }
}
