package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.contract.PromptPart;
import org.gooseberryhill.decision.coordination.FeasibleFirstOrder;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.promptpart.CrashedRun;
import org.gooseberryhill.decision.promptpart.EndpointCrash;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.ClientLimits;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how items start of which the first of each batch has a part that was in flight at crashes. */
class SuspectedItemsTest {
    /** An item that is owed is at an endpoint within this time, if nothing fails. */
    private static final long CALM_MILLIS = 5000;

    private static final EndpointEntry ENDPOINT = new EndpointEntry(
            "e0", 1, "s", "v1", new Address("10.0.0.1", 8000), new AvailabilityZone("a"), 4, false, 0);
    private static final Prompt CRASHING =
            new Prompt("m", 10, 10, List.of(new PromptPart("a", 5), new PromptPart("own", 5)));
    private static final Prompt SOUND =
            new Prompt("m", 10, 10, List.of(new PromptPart("b", 5), new PromptPart("own", 5)));

    private final Fleet fleet = new Fleet();
    private final BatchRoutes routes = new BatchRoutes();
    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    private final OwnedBatch batch = BatchFixture.batch(2);
    private final String firstItem = batch.startableItems(0).get(0).item().id();
    private final ItemDispatch dispatch = new ItemDispatch(
            fleet,
            routes,
            new FeasibleFirstOrder(),
            new RestartNever(),
            new ItemQuarantine(quarantine, item -> Optional.of(item.id().equals(firstItem) ? CRASHING : SOUND)));
    private long nowMillis = 1000;
    private int crashes;

    SuspectedItemsTest() {
        fleet.updateDirectory(List.of(ENDPOINT));
        routes.configure(new RouteTable(new RouteConfiguration(1, List.of(route()), Map.of(), ClientLimits.DEFAULT)));
    }

    @Test
    void aSuspectedItemNeedsAPermitAndTheOthersStart() {
        crash(1);

        SuspectItem suspect = suspect().orElseThrow();
        PlacedItem other = start().orElseThrow();

        assertThat(suspect.isConfined()).isFalse();
        assertThat(other.item().item().id()).isNotEqualTo(firstItem);
        assertThat(start()).isEmpty();
        PlacedItem permitted =
                dispatch.startSuspect(suspect, ENDPOINT, nowNanos()).orElseThrow();
        assertThat(permitted.item().item().id()).isEqualTo(firstItem);
    }

    /** Guards against an item that is asked a permit for again and again while another request with its part runs. */
    @Test
    void aSuspectedItemIsPassedOverForAWhileAfterItWasAskedFor() {
        crash(2);

        assertThat(suspect().orElseThrow().isConfined()).isTrue();
        assertThat(suspect()).isEmpty();
        nowMillis += 1000;
        assertThat(suspect()).isPresent();
    }

    /** Guards against slots that are granted for items which may not start. */
    @Test
    void aBlockedItemDoesNotWaitForASlot() {
        crash(3);

        assertThat(suspect()).isEmpty();
        assertThat(start().orElseThrow().item().item().id()).isNotEqualTo(firstItem);

        assertThat(dispatch.waitingItems(List.of(batch), nowNanos(), nowMillis)).isEmpty();
        assertThat(batch.openItemCount()).isEqualTo(2);
    }

    /** Guards against an item that waits although endpoints are free, because its part was in flight at crashes. */
    @ParameterizedTest
    @ValueSource(ints = {3, 5, 7, 20})
    void aBlockedItemIsStartedWithinSecondsOfTheLastCrash(int count) {
        for (int i = 0; i < count; i++) {
            crashUnder(awaitStart());
        }
        long lastCrashMillis = nowMillis;

        PlacedItem run = awaitStart();

        assertThat(run.item().item().id()).isEqualTo(firstItem);
        assertThat(nowMillis - lastCrashMillis).isLessThan(CALM_MILLIS);
    }

    /** Guards against an item with blocked parts that crashes one endpoint after the other without a pause. */
    @Test
    void aBlockedItemWhoseRunsCrashEndpointsIsStartedRarely() {
        int starts = 0;
        long endMillis = nowMillis + 60_000;
        while (nowMillis < endMillis) {
            crashUnder(awaitStart());
            starts++;
        }

        assertThat(starts).isLessThanOrEqualTo(40);
    }

    /** Starts the other item, then waits until the first one has started and returns its run. */
    private PlacedItem awaitStart() {
        long endMillis = nowMillis + 600_000;
        while (nowMillis < endMillis) {
            Optional<PlacedItem> run = suspect()
                    .flatMap(item -> dispatch.startSuspect(item, ENDPOINT, nowNanos()))
                    .or(this::start);
            if (run.isPresent() && run.get().item().item().id().equals(firstItem)) {
                return run.get();
            }
            nowMillis += 50;
        }
        throw new AssertionError("the item is not started within ten minutes");
    }

    private void crashUnder(PlacedItem run) {
        crash(1);
        dispatch.runEnded(run, RunEnd.CUT, AttemptEnd.CUT, nowNanos());
    }

    private void crash(int times) {
        for (int i = 0; i < times; i++) {
            nowMillis += 200;
            CrashedRun run = CrashedRun.of(
                            CRASHING, ENDPOINT.serviceVersion(), nowNanos() - TimeUnit.MILLISECONDS.toNanos(100))
                    .orElseThrow();
            quarantine.endpointCrashed(
                    new EndpointCrash(new EndpointKey("c" + crashes++, 1), new HostId("h"), nowNanos(), List.of(run)),
                    nowNanos());
        }
    }

    private Optional<SuspectItem> suspect() {
        return dispatch.suspectAt(ENDPOINT, 0, List.of(batch), nowNanos(), nowMillis);
    }

    private Optional<PlacedItem> start() {
        return dispatch.startAt(ENDPOINT, 0, List.of(batch), nowNanos(), nowMillis);
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
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
