package org.gooseberryhill.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.program.EntryClient;
import org.gooseberryhill.program.SampleSystem;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.EngineStandin;
import org.gooseberryhill.standin.KeyValueFaults;
import org.gooseberryhill.standin.SampleFleet;

/**
 * Runs the online workload of a deployment against a small system, together with a job that outlasts the run. Confined
 * to one thread.
 */
public final class Experiment {
    private static final EngineSpeed SPEED = new EngineSpeed(8, 20, 256, 16);
    private static final int ENGINE_COUNT = 12;
    private static final int JOB_ITEMS = 20_000;
    private static final long WARM_UP_MILLIS = 1500;
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final double CRASH_SHARE = 0.25;
    private static final double OUTAGE_BEGIN_SHARE = 0.65;
    private static final double OUTAGE_END_SHARE = 0.85;

    private final Workload workload;
    private final double seconds;
    private final int basePort;

    /** Creates an experiment whose runs last the given number of seconds and use 100 ports from the base port. */
    public Experiment(Workload workload, double seconds, int basePort) {
        this.workload = workload;
        this.seconds = seconds;
        this.basePort = basePort;
    }

    /** Starts a new system, runs the workload once and returns the results. */
    public RunResult run(Point point, long seed) throws IOException {
        Path folder = Files.createTempDirectory("gooseberry-load");
        SampleFleet fleet = new SampleFleet(basePort, ENGINE_COUNT);
        try (SampleSystem system = new SampleSystem(fleet, SPEED, folder, point.baseline())) {
            system.applyConfiguration(withBatchWeight(fleet.configuration(), point.batchPercent()));
            awaitReady(system);
            return measure(system, point, seed);
        } finally {
            deleteAll(folder);
        }
    }

    private RunResult measure(SampleSystem system, Point point, long seed) {
        Measurement measurement = new Measurement();
        List<Arrivals.Arrival> arrivals = Arrivals.generate(workload, seconds, seed);
        try (EntryClient coordinator = system.client(0, SampleFleet.COORDINATORS_KEY);
                OnlineSender sender = new OnlineSender(system, measurement)) {
            if (point.batchPercent() > 0) {
                submitJob(coordinator);
            }
            sleep(WARM_UP_MILLIS);
            int servedBefore = servedAnswers(system);
            long beginNanos = System.nanoTime();
            FaultPlan faults = new FaultPlan(system, point.faults());
            sender.send(arrivals, beginNanos, faults::injectDueFaults);
            int servedAfter = servedAnswers(system);
            double elapsedSeconds = (System.nanoTime() - beginNanos) / (double) TimeUnit.SECONDS.toNanos(1);
            int onlineAnswers = measurement.wholeModelAnswers();
            sender.awaitAnswers();
            double itemsPerSecond = Math.max(0, servedAfter - servedBefore - onlineAnswers) / elapsedSeconds;
            return new RunResult(
                    point,
                    itemsPerSecond,
                    itemsPerSecond * workload.itemTokens(),
                    measurement.firstTokenMillis(50),
                    measurement.firstTokenMillis(95),
                    measurement.firstTokenMillis(99),
                    measurement.gapMillis(95),
                    measurement.plainMillis(99),
                    measurement.countsByEnd());
        }
    }

    private void submitJob(EntryClient coordinator) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < JOB_ITEMS; i++) {
            String prompt = OnlineSender.promptText("item " + i, workload.itemPromptCharacters());
            lines.append(Json.text(Map.of("prompt", prompt, "max_tokens", workload.itemTokens())))
                    .append('\n');
        }
        HttpResult result = coordinator.call(
                "PUT",
                "/v1/jobs/lot?model=" + SampleFleet.MODEL.model(),
                lines.toString().getBytes(StandardCharsets.UTF_8));
        if (!result.isSuccess()) {
            throw new IllegalStateException("the job was not accepted: " + result.status());
        }
    }

    private static String withBatchWeight(String configuration, int percent) {
        return configuration.replace(
                "    model: tutor-7b\n", "    model: tutor-7b\n    batch-weight-percent: " + percent + "\n");
    }

    private static int servedAnswers(SampleSystem system) {
        return system.platform().engines().stream()
                .mapToInt(EngineStandin::servedCount)
                .sum();
    }

    private static void awaitReady(SampleSystem system) {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        for (int i = 0; i < SampleSystem.HOSTS_PER_ROLE; i++) {
            try (EntryClient client = system.client(i, SampleFleet.TUTORS_KEY)) {
                while (System.nanoTime() < deadlineNanos && !isReady(client)) {
                    sleep(50);
                }
            }
        }
        sleep(500);
    }

    private static boolean isReady(EntryClient client) {
        HttpResult result = client.call("GET", "/readyz", new byte[0]);
        JsonNode answer = Json.tree(result.body()).getOrElse(Json.object());
        return answer.path("ready").asBoolean(false);
    }

    private static void sleep(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static void deleteAll(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * The parameters that vary between runs. Immutable.
     *
     * @param baseline whether the baseline policies are used instead of the product's
     * @param batchPercent the model's batch weight in percent; 0 means that no job is submitted
     * @param faults whether an engine crashes and the key-value store has an outage during the run
     */
    public record Point(boolean baseline, int batchPercent, boolean faults) {}

    /** Injects the faults at fixed fractions of the run's duration. Confined to one thread. */
    private final class FaultPlan {
        private final SampleSystem system;
        private final boolean enabled;
        private int nextFault;

        FaultPlan(SampleSystem system, boolean enabled) {
            this.system = system;
            this.enabled = enabled;
        }

        void injectDueFaults(long elapsedNanos) {
            double elapsedShare = elapsedNanos / (seconds * TimeUnit.SECONDS.toNanos(1));
            if (!enabled) {
                return;
            }
            if (nextFault == 0 && elapsedShare >= CRASH_SHARE) {
                system.platform().engines().get(3).crash();
                nextFault++;
            } else if (nextFault == 1 && elapsedShare >= OUTAGE_BEGIN_SHARE) {
                system.platform().keyValue().setFaults(new KeyValueFaults(true, 0, 0, 0, false));
                nextFault++;
            } else if (nextFault == 2 && elapsedShare >= OUTAGE_END_SHARE) {
                system.platform().keyValue().setFaults(KeyValueFaults.NONE);
                nextFault++;
            }
        }
    }
}
