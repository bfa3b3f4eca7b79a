package org.gooseberryhill.load.slope;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.program.EntryClient;
import org.gooseberryhill.program.SampleSystem;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.SampleFleet;

/**
 * Measures the writes that a job makes in the key-value store from its submission to its end, as counted by the
 * stand-in. Confined to one thread.
 */
final class JobWritesProbe implements SlopeProbe {
    private static final EngineSpeed FAST_ENGINES = new EngineSpeed(16, 1, 1024, 16);
    private static final int CHUNK_ITEMS = 256;
    private static final int ENGINE_COUNT = 6;
    private static final long STARTUP_MILLIS = 1500;
    private static final long POLL_MILLIS = 100;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final int basePort;

    JobWritesProbe(int basePort) {
        this.basePort = basePort;
    }

    @Override
    public String name() {
        return "writes of a job in the key-value store";
    }

    @Override
    public String unit() {
        return "transactions";
    }

    @Override
    public String variedQuantity() {
        return "chunks of " + CHUNK_ITEMS + " items";
    }

    @Override
    public List<Integer> sizes() {
        return List.of(1, 2, 4, 8);
    }

    @Override
    public double measure(int chunks) {
        try {
            Path folder = Files.createTempDirectory("gooseberry-slope");
            try (SampleSystem system =
                            new SampleSystem(new SampleFleet(basePort, ENGINE_COUNT), FAST_ENGINES, folder, false);
                    EntryClient client = system.client(0, SampleFleet.COORDINATORS_KEY)) {
                sleep(STARTUP_MILLIS);
                long writesBefore = writes(system);
                runJobToEnd(client, chunks * CHUNK_ITEMS);
                return writes(system) - writesBefore;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void runJobToEnd(EntryClient client, int items) {
        String body = "{\"prompt\":\"x\",\"max_tokens\":1}\n".repeat(items);
        HttpResult accepted = client.call(
                "PUT", "/v1/jobs/slope?model=" + SampleFleet.MODEL.model(), body.getBytes(StandardCharsets.UTF_8));
        if (!accepted.isSuccess()) {
            throw new IllegalStateException("the job was not accepted: " + accepted.status());
        }
        awaitDone(() -> jobState(client), System::nanoTime);
    }

    /** Waits until a job is done; throws {@link IllegalStateException} if it is not in time, since nothing is measured then. */
    static void awaitDone(Supplier<String> state, LongSupplier nanoTime) {
        long deadlineNanos = nanoTime.getAsLong() + TIMEOUT_NANOS;
        while (!state.get().equals("done")) {
            if (nanoTime.getAsLong() - deadlineNanos >= 0) {
                throw new IllegalStateException("the job was not done within " + TIMEOUT_NANOS + " ns");
            }
            sleep(POLL_MILLIS);
        }
    }

    private static String jobState(EntryClient client) {
        HttpResult status = client.call("GET", "/v1/jobs/slope", new byte[0]);
        return Json.tree(status.body()).map(json -> json.path("state").asText()).getOrElse("");
    }

    private static long writes(SampleSystem system) {
        return system.platform().keyValue().callCounts().getOrDefault("/v3/kv/txn", 0L);
    }

    private static void sleep(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
