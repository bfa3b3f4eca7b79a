package org.gooseberryhill.load.slope;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.configuration.ActiveConfiguration;
import org.gooseberryhill.decision.configuration.ConfigurationRecord;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.OwnedJob;
import org.gooseberryhill.decision.membership.HostState;
import org.gooseberryhill.decision.membership.Membership;
import org.gooseberryhill.decision.membership.MembershipSettings;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.decision.routing.EndpointTable;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.PeerMessageSize;
import org.gooseberryhill.process.ConfigurationCodec;
import org.gooseberryhill.zone.AvailabilityZone;

/** Creates the probes whose results docs/CAPACITY.md uses. Stateless. */
public final class SlopeProbes {
    private static final int PLANNED_ENDPOINTS = 2600;
    private static final int PLANNED_CALLERS = 2400;
    private static final String VARIED_ENDPOINTS = "endpoints (with 2400 callers per 2600 of them)";
    private static final List<Integer> ENDPOINT_COUNTS = List.of(130, 650, 1300, 2600);
    private static final List<Integer> MESSAGE_ENTRY_COUNTS = List.of(0, 1, 2, 4, 8);
    private static final int PARSE_RUNS = 15;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int JOB_ITEMS = 296;
    private static final int ITEM_BYTES = 500;

    private SlopeProbes() {}

    /** Returns all probes; the last one starts small systems on 100 ports from the base port. */
    public static List<SlopeProbe> all(int basePort) {
        return List.of(
                messageProbe("heartbeat", "rumors", SlopeProbes::heartbeat),
                messageProbe("online load report", "endpoints", SlopeProbes::onlineLoad),
                messageProbe("answer to a load report", "endpoints", SlopeProbes::endpointLoads),
                configurationProbe("operators' text", "bytes", String::length),
                configurationProbe("stored configuration", "bytes", SlopeProbes::storedBytes),
                configurationProbe("push of a one-line change", "bytes", SlopeProbes::changeMessageBytes),
                configurationProbe("reading a changed text", "ms", SlopeProbes::parseMillis),
                heapProbe(
                        "configuration and routing table",
                        VARIED_ENDPOINTS,
                        ENDPOINT_COUNTS,
                        SlopeProbes::routingTable),
                heapProbe("membership", "hosts", List.of(50, 100, 200, 380), SlopeProbes::membership),
                heapProbe(
                        "owned jobs of " + JOB_ITEMS + " items of " + ITEM_BYTES + " bytes",
                        "jobs",
                        List.of(10, 40, 80, 142),
                        SlopeProbes::ownedJobs),
                new JobWritesProbe(basePort));
    }

    /** Returns a probe of the size, including framing, of a peer message with the given number of entries. */
    private static SlopeProbe messageProbe(String name, String variedQuantity, IntFunction<PeerMessage> builder) {
        return new FunctionProbe(
                name,
                "bytes",
                variedQuantity,
                MESSAGE_ENTRY_COUNTS,
                size -> PeerMessageSize.encodedBytes(builder.apply(size)));
    }

    /** Returns a probe of a cost of the configuration text with endpoints and callers in the planned proportion. */
    private static SlopeProbe configurationProbe(String name, String unit, ToDoubleFunction<String> cost) {
        return new FunctionProbe(
                name,
                unit,
                VARIED_ENDPOINTS,
                ENDPOINT_COUNTS,
                size -> cost.applyAsDouble(SampleConfigurations.create(size, callersFor(size))));
    }

    /**
     * Returns a probe of the live heap of an object with the given number of entries. The object is built once before
     * the measurement, so that the memory of loaded classes is not counted.
     */
    private static SlopeProbe heapProbe(
            String name, String variedQuantity, List<Integer> sizes, IntFunction<Object> builder) {
        return new FunctionProbe(name, "bytes of live heap", variedQuantity, sizes, size -> {
            builder.apply(size);
            return LiveHeap.bytesOf(() -> builder.apply(size));
        });
    }

    private static int callersFor(int endpoints) {
        return endpoints * PLANNED_CALLERS / PLANNED_ENDPOINTS;
    }

    private static PeerMessage heartbeat(int rumorCount) {
        List<Rumor> rumors = new ArrayList<>();
        for (int i = 0; i < rumorCount; i++) {
            rumors.add(new Rumor(new HostId("steward-%04d".formatted(i)), HostState.SUSPECT, i));
        }
        return new PeerMessage.Heartbeat(3, false, 1_000_000, rumors, Map.of("service-1", 1_796_256_000_000L));
    }

    private static PeerMessage onlineLoad(int endpoints) {
        return new PeerMessage.OnlineLoad(counts(endpoints), List.of());
    }

    private static PeerMessage endpointLoads(int endpoints) {
        return new PeerMessage.EndpointLoads(counts(endpoints), counts(endpoints), List.of());
    }

    private static Map<String, Integer> counts(int endpoints) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < endpoints; i++) {
            counts.put("runner-%04d".formatted(i), i);
        }
        return counts;
    }

    private static double storedBytes(String text) {
        return ConfigurationCodec.encode(new ConfigurationRecord("edit", "operator", 0, text)).length;
    }

    private static double changeMessageBytes(String text) {
        String changed = text.replaceFirst("slots: 16", "slots: 12");
        return PeerMessageSize.encodedBytes(
                new PeerMessage.ConfigurationChange(1_000_000, 1_000_001, TextChange.between(text, changed)));
    }

    private static double parseMillis(String text) {
        double bestMillis = Double.MAX_VALUE;
        for (int run = 0; run < PARSE_RUNS; run++) {
            ActiveConfiguration activeConfiguration = new ActiveConfiguration();
            EndpointTable table = new EndpointTable();
            long beginNanos = System.nanoTime();
            activeConfiguration.offer(1, text);
            table.configure(activeConfiguration.configuration());
            bestMillis = Math.min(bestMillis, (System.nanoTime() - beginNanos) / NANOS_PER_MILLI);
        }
        return bestMillis;
    }

    private static Object routingTable(int endpoints) {
        String text = SampleConfigurations.create(endpoints, callersFor(endpoints));
        ActiveConfiguration activeConfiguration = new ActiveConfiguration();
        activeConfiguration.offer(1, text);
        EndpointTable table = new EndpointTable();
        table.configure(ConfigurationReader.read("slope", text).get());
        return List.of(activeConfiguration, table);
    }

    private static Object membership(int hosts) {
        List<Host> candidates = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            candidates.add(new Host(
                    new HostId("steward-%04d".formatted(i)),
                    Role.STEWARD,
                    new AvailabilityZone("zone-" + i % 4),
                    new Address("10.0." + i / 250 + "." + i % 250, 7000),
                    false));
        }
        Membership membership = new Membership(new HostId("self"), MembershipSettings.DEFAULT, new Random(1));
        membership.updateCandidates(candidates, 0);
        return membership;
    }

    private static Object ownedJobs(int jobs) {
        List<OwnedJob> owned = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            JobRecord record = new JobRecord(
                    JobState.RUNNING, "hash", "s", "m", 0, 0, JOB_ITEMS, 256, List.of("chunk-0", "chunk-1"));
            OwnedJob job = new OwnedJob(new JobKey("caller", "job-" + i), record, 1, 1, new BitSet());
            for (int chunk = 0; chunk < 2; chunk++) {
                job.nextChunkToLoad();
                job.chunkLoaded(chunk, bodies(record.itemsInChunk(chunk)));
            }
            owned.add(job);
        }
        return owned;
    }

    private static List<String> bodies(int count) {
        List<String> bodies = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String filler = "x".repeat(ITEM_BYTES - 40);
            bodies.add(Json.text(Map.of("prompt", i + filler, "max_tokens", 40)));
        }
        return bodies;
    }
}
