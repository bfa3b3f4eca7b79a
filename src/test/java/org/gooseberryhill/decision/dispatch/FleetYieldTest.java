package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class FleetYieldTest {
    private static final EndpointKey KEY = DispatchFixture.key("e0");

    /** Three hosts have items at an overcommitted endpoint: together they stop exactly as many as exceed its slots. */
    @Property
    void hostsWithTheSameReportsTogetherYieldExactlyTheExcess(@ForAll Random random) {
        List<HostId> hosts = List.of(new HostId("a"), new HostId("b"), new HostId("c"));
        Map<HostId, InFlight> inFlight = new HashMap<>();
        hosts.forEach(host -> inFlight.put(host, new InFlight(random.nextInt(5), random.nextInt(5))));
        int online = inFlight.values().stream().mapToInt(InFlight::online).sum();
        int batch = inFlight.values().stream().mapToInt(InFlight::batch).sum();

        int yielded =
                hosts.stream().mapToInt(host -> yieldShare(host, inFlight)).sum();

        int excess = Math.max(0, online + batch - DispatchFixture.SLOTS);
        assertThat(yielded).isEqualTo(Math.min(excess, batch));
    }

    /** Crossing reports of two hosts make an endpoint seem overcommitted for some milliseconds: no item yields. */
    @Test
    void aBriefExcessDisplacesNoItems() {
        YieldGracePeriod gracePeriod = new YieldGracePeriod();

        assertThat(gracePeriod.itemsToYield(KEY, 2, 0)).isZero();
        assertThat(gracePeriod.itemsToYield(KEY, 0, 10_000_000)).isZero();
        assertThat(gracePeriod.itemsToYield(KEY, 2, 20_000_000)).isZero();
        assertThat(gracePeriod.itemsToYield(KEY, 2, 49_000_000)).isZero();
        assertThat(gracePeriod.itemsToYield(KEY, 2, 51_000_000)).isEqualTo(2);
    }

    /** Pauses double during a burst, so that few items start only to yield again, and are reset after it. */
    @Test
    void thePauseOfAnEndpointDoublesDuringABurst() {
        ItemStartPause pause = new ItemStartPause();
        long burstNanos = 1_000_000_000L;
        pause.itemsYielded(KEY, burstNanos);
        assertThat(pause.isPaused(KEY, burstNanos + 299_000_000L)).isTrue();
        assertThat(pause.isPaused(KEY, burstNanos + 301_000_000L)).isFalse();

        pause.itemsYielded(KEY, burstNanos + 400_000_000L);
        assertThat(pause.isPaused(KEY, burstNanos + 990_000_000L)).isTrue();

        long afterBurstNanos = burstNanos + 10_000_000_000L;
        pause.itemsYielded(KEY, afterBurstNanos);
        assertThat(pause.isPaused(KEY, afterBurstNanos + 301_000_000L)).isFalse();
    }

    @Test
    void itemsLeaveASlotFreeUnlessTheyAreUrgent() {
        DispatchFixture fixture = new DispatchFixture(1);
        fixture.fleet.updateReport(new HostId("other"), Map.of(KEY, new InFlight(3, 4)), fixture.nowNanos);
        List<FleetEndpoint> endpoints = new ArrayList<>(fixture.fleet.endpointsOf(DispatchFixture.SERVICE));
        ItemPlacement placement = new ReservedSlotPlacement(new Random(1));

        assertThat(placement.choose(endpoints, false, fixture.nowNanos)).isEmpty();
        assertThat(placement.choose(endpoints, true, fixture.nowNanos)).isPresent();
    }

    private static int yieldShare(HostId self, Map<HostId, InFlight> inFlight) {
        Fleet fleet = new Fleet();
        fleet.updateDirectory(List.of(DispatchFixture.entry("e0", 1, false)));
        inFlight.forEach((host, load) -> {
            if (!host.equals(self)) {
                fleet.updateReport(host, Map.of(KEY, load), 0);
            }
        });
        for (int i = 0; i < inFlight.get(self).online(); i++) {
            fleet.onlineStarted(KEY);
        }
        for (int i = 0; i < inFlight.get(self).batch(); i++) {
            fleet.batchStarted(KEY);
        }
        return fleet.yieldShare(fleet.find(KEY).orElseThrow(), self);
    }
}
