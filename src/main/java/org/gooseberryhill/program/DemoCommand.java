package org.gooseberryhill.program;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.standin.EngineFaults;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.EngineStandin;
import org.gooseberryhill.standin.SampleAnswers;
import org.gooseberryhill.standin.SampleFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Demonstrates the system on embedded stand-ins: streams answers to several callers while a job runs to its end.
 * Meanwhile one engine is killed and another leaves as planned. Exits with 0 only if every check behind the summary
 * passed.
 */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Runs online requests and a job on embedded stand-ins, kills an engine, and checks the outcome")
final class DemoCommand implements Callable<Integer> {
    private static final int ITEMS = 600;
    private static final int ITEM_TOKENS = 24;
    private static final int REQUESTS = 300;
    private static final int REQUEST_TOKENS = 16;
    private static final long REQUEST_PERIOD_MILLIS = 20;
    private static final int KILL_AT_REQUEST = 80;
    private static final int LEAVE_AT_REQUEST = 160;
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long JOB_TIMEOUT_MILLIS = 45_000;
    private static final long POLL_MILLIS = 100;
    private static final String JOB_ID = "evening-lot";

    @Spec
    private CommandSpec spec;

    @Option(names = "--base-port", defaultValue = "18400", description = "First of 100 ports (default 18400)")
    private int basePort;

    @Option(
            names = "--folder",
            defaultValue = "run/demo",
            description = "Folder for data and timeline (default run/demo)")
    private Path folder;

    private final List<String> failures = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path runFolder = folder.resolve(Long.toString(System.currentTimeMillis()));
        Files.createDirectories(runFolder);
        try (SampleSystem system =
                new SampleSystem(new SampleFleet(basePort, 12), EngineSpeed.SMALL, runFolder, false)) {
            awaitReady(system);
            return run(system);
        }
    }

    private int run(SampleSystem system) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        EntryClient coordinator = system.client(0, SampleFleet.COORDINATORS_KEY);
        HttpResult submitted = coordinator.call("PUT", "/v1/jobs/" + JOB_ID + "?model=tutor-7b", jobBody(JOB_ID));
        check(submitted.status() == 201, "the job was not accepted: " + submitted.status());
        List<CompletableFuture<StreamedAnswerChecker.Result>> answers = sendOnlineRequests(system);
        Histogram firstTokenMicros = new Histogram(3);
        int completeAnswers = 0;
        for (CompletableFuture<StreamedAnswerChecker.Result> answer : answers) {
            StreamedAnswerChecker.Result result = answer.join();
            if (result.end() == StreamedAnswerChecker.End.WHOLE) {
                completeAnswers++;
                firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(result.firstTokenNanos()));
            }
        }
        check(
                completeAnswers == REQUESTS,
                (REQUESTS - completeAnswers) + " online answers were incomplete or incorrect");
        awaitDone(coordinator);
        int correct = countCorrectResults(coordinator);
        check(correct == ITEMS, correct + " of " + ITEMS + " items have exactly one correct result");
        coordinator.close();
        out.printf("online: %d of %d answers complete and correct%n", completeAnswers, REQUESTS);
        out.printf(
                "online first token: p50 %.1f ms, p99 %.1f ms%n",
                firstTokenMicros.getValueAtPercentile(50) / 1000.0, firstTokenMicros.getValueAtPercentile(99) / 1000.0);
        out.printf("job: %d of %d items done exactly once, each result correct%n", correct, ITEMS);
        out.printf("engine %s killed, engine %s left as planned, no answers truncated%n", engineName(1), engineName(2));
        out.printf("key-value store calls: %s%n", system.platform().keyValue().callCounts());
        out.printf("timeline: bin/gooseberry timeline %s%n", system.timelineFolder());
        failures.forEach(failure -> out.println("FAILED: " + failure));
        out.flush();
        return failures.isEmpty() ? Commands.OK : Commands.FAILED;
    }

    private List<CompletableFuture<StreamedAnswerChecker.Result>> sendOnlineRequests(SampleSystem system)
            throws InterruptedException {
        List<EntryClient> callers = new ArrayList<>();
        for (int i = 0; i < SampleSystem.HOSTS_PER_ROLE; i++) {
            callers.add(system.client(i, SampleFleet.TUTORS_KEY));
        }
        List<CompletableFuture<StreamedAnswerChecker.Result>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            if (i == KILL_AT_REQUEST) {
                system.platform().engines().get(1).crash();
            }
            if (i == LEAVE_AT_REQUEST) {
                EngineStandin leaving = system.platform().engines().get(2);
                leaving.setFaults(new EngineFaults(Optional.empty(), 0, true, true, false));
            }
            String prompt = "critique of sketch " + i;
            StreamedAnswerChecker checker =
                    new StreamedAnswerChecker(SampleAnswers.chatAnswer(prompt, REQUEST_TOKENS), System.nanoTime());
            callers.get(i % callers.size())
                    .start("POST", "/v1/chat/completions", SampleAnswers.chatBody(prompt, REQUEST_TOKENS), checker);
            answers.add(checker.result());
            Thread.sleep(REQUEST_PERIOD_MILLIS);
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .whenComplete((done, failure) -> callers.forEach(EntryClient::close));
        return answers;
    }

    private void awaitReady(SampleSystem system) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        for (int i = 0; i < SampleSystem.HOSTS_PER_ROLE; i++) {
            try (EntryClient client = system.client(i, SampleFleet.TUTORS_KEY)) {
                while (client.call("GET", "/readyz", new byte[0]).status() != 200
                        && System.nanoTime() < deadlineNanos) {
                    Thread.sleep(POLL_MILLIS);
                }
            }
        }
        // Leaves time for the first heartbeats and leases.
        Thread.sleep(5 * POLL_MILLIS);
    }

    private void awaitDone(EntryClient client) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOB_TIMEOUT_MILLIS);
        String state = "";
        while (!state.equals("done") && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_MILLIS);
            HttpResult status = client.call("GET", "/v1/jobs/" + JOB_ID, new byte[0]);
            state = Json.tree(status.body())
                    .map(json -> json.path("state").asText())
                    .getOrElse("");
        }
        check(state.equals("done"), "the job's state is " + state);
    }

    private int countCorrectResults(EntryClient client) {
        HttpResult results = client.call("GET", "/v1/jobs/" + JOB_ID + "/results", new byte[0]);
        BitSet seenIndexes = new BitSet();
        int correct = 0;
        for (String line : new String(results.body(), StandardCharsets.UTF_8).split("\n")) {
            JsonNode json = Json.tree(line.getBytes(StandardCharsets.UTF_8)).getOrElse(Json.object());
            int index = json.path("index").asInt(-1);
            String expected = SampleAnswers.promptAnswer(itemPrompt(JOB_ID, index), ITEM_TOKENS);
            boolean textMatches = json.path("text").asText().equals(expected);
            if (index >= 0 && textMatches && !seenIndexes.get(index)) {
                seenIndexes.set(index);
                correct++;
            } else {
                check(false, "a result is wrong or duplicated: " + line);
            }
        }
        return correct;
    }

    private void check(boolean condition, String failure) {
        if (!condition) {
            failures.add(failure);
        }
    }

    private static byte[] jobBody(String jobId) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < ITEMS; i++) {
            lines.append(Json.text(Map.of("prompt", itemPrompt(jobId, i), "max_tokens", ITEM_TOKENS)))
                    .append('\n');
        }
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String itemPrompt(String jobId, int index) {
        return "portfolio " + jobId + " " + index;
    }

    private static String engineName(int number) {
        return SampleFleet.engineName(number);
    }
}
