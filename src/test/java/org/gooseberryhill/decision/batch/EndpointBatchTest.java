package org.gooseberryhill.decision.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class EndpointBatchTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final HostId ENTRY = new HostId("entry");
    private static final HostId OTHER_ENTRY = new HostId("other");

    private final EndpointBatch endpoint = endpoint(new LeftoverSlotsPolicy(0.125));
    private long lastRunNumber;

    @Test
    void batchFillsTheSlotsThatOnlineLeavesExceptForAReserve() {
        assertThat(endpoint.freeSlots(0)).isEqualTo(7);
        endpoint.onOnlineReport(ENTRY, 3, false, 0);
        assertThat(endpoint.freeSlots(0)).isEqualTo(4);
        endpoint.onOnlineReport(OTHER_ENTRY, 3, false, 0);
        assertThat(endpoint.freeSlots(0)).isEqualTo(1);
    }

    /** When online load rises tenfold at once, each report makes just enough batch items yield. */
    @Test
    void aBurstMakesBatchYieldInTheSameCall() {
        fill();

        List<RunningItem> yielded = endpoint.onOnlineReport(ENTRY, 5, false, 0);

        assertThat(yielded).hasSize(5);
        yielded.forEach(item -> endpoint.recordEnd(item.runNumber()));
        assertThat(endpoint.onOnlineReport(ENTRY, 50, false, 0)).hasSize(2);
    }

    @Test
    void theItemsWithTheLeastWorkYieldFirst() {
        fill();
        endpoint.running().forEach(item -> item.setTokens((int) item.runNumber() * 10));

        List<RunningItem> yielded = endpoint.onOnlineReport(ENTRY, 2, false, 0);

        assertThat(yielded).extracting(RunningItem::runNumber).containsExactly(1L, 2L);
    }

    /** When an entry host stops reporting, its last report is used for 12 s; then its slots are free again. */
    @Test
    void aReportThatIsNotRepeatedExpires() {
        endpoint.onOnlineReport(ENTRY, 7, false, 0);

        assertThat(endpoint.freeSlots(11_000 * MILLI)).isZero();
        assertThat(endpoint.freeSlots(12_100 * MILLI)).isEqualTo(7);
    }

    /** When the membership reports the loss of an entry host, the slots of its requests are free at once. */
    @Test
    void theReportOfALostEntryIsDropped() {
        endpoint.onOnlineReport(ENTRY, 7, false, 0);
        endpoint.onOnlineReport(OTHER_ENTRY, 2, false, 0);
        endpoint.retainEntries(Set.of(OTHER_ENTRY));

        assertThat(endpoint.freeSlots(0)).isEqualTo(5);
    }

    /**
     * When no entry host reports its requests in flight to the steward, the engine's own count of requests in flight,
     * although it lags, keeps slots free for online requests.
     */
    @Test
    void theEnginesOwnCountIsUsedWhenNoEntryReports() {
        fill();

        assertThat(endpoint.onEngineReport(12, 0)).hasSize(5);
    }

    @Test
    void aTailLatencyAboveItsTargetHalvesTheBatchCapWhichThenRisesSlowly() {
        fill();

        assertThat(endpoint.onOnlineReport(ENTRY, 0, true, 0)).hasSize(4);
        List.copyOf(endpoint.running()).forEach(item -> endpoint.recordEnd(item.runNumber()));
        assertThat(endpoint.freeSlots(0)).isEqualTo(3);
        assertThat(endpoint.freeSlots(1100 * MILLI)).isEqualTo(5);
    }

    @Test
    void aLeavingEndpointGetsNoItem() {
        endpoint.setLeaving(true);

        assertThat(endpoint.freeSlots(0)).isZero();
    }

    @Test
    void theBaselineNeverYields() {
        EndpointBatch fixed = endpoint(new FixedSlotsPolicy());

        assertThat(fixed.onOnlineReport(ENTRY, 50, false, 0)).isEmpty();
        assertThat(fixed.freeSlots(0)).isEqualTo(8);
    }

    /** Checks the limit for batch items over random sequences of reports, starts and ends. */
    @Property(seed = "20261203")
    void batchIsNeverMoreThanWhatOnlineLeaves(@ForAll long seed) {
        Random random = new Random(seed);
        EndpointBatch batch = endpoint(new LeftoverSlotsPolicy(0.125));
        long nowNanos = 0;
        int online = 0;
        for (int step = 0; step < 200; step++) {
            nowNanos += random.nextInt(100) * MILLI;
            if (random.nextInt(3) == 0) {
                online = random.nextInt(12);
                batch.onOnlineReport(ENTRY, online, random.nextInt(10) == 0, nowNanos)
                        .forEach(item -> batch.recordEnd(item.runNumber()));
            } else {
                batch.onOnlineReport(ENTRY, online, false, nowNanos).forEach(item -> batch.recordEnd(item.runNumber()));
                if (batch.freeSlots(nowNanos) > 0) {
                    batch.recordStart(new RunningItem(step, nowNanos));
                }
            }
            assertThat(batch.running().size()).isLessThanOrEqualTo(Math.max(0, 8 - online - 1));
        }
    }

    private void fill() {
        while (endpoint.freeSlots(0) > 0) {
            endpoint.recordStart(new RunningItem(++lastRunNumber, lastRunNumber));
        }
    }

    private static EndpointBatch endpoint(BatchSlotPolicy policy) {
        EndpointSettings settings = new EndpointSettings(
                "e", "s", new Address("10.0.0.1", 9000), new AvailabilityZone("a"), 8, true, false);
        return new EndpointBatch(settings, 100, policy, new LeastWorkLostOrder());
    }
}
