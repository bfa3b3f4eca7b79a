package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.program.StreamedAnswerChecker.End;
import org.gooseberryhill.standin.SampleAnswers;
import org.gooseberryhill.standin.SampleFleet;
import org.gooseberryhill.timeline.TimelineEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the fleet as separate processes, as an operator does, and kills one and suspends another by signals. */
class FleetProcessesTest {
    private static final int ITEMS = 1500;
    private static final int HOSTS_PER_ROLE = 3;

    private final SampleFleet fleet = new SampleFleet(Loopback.freeBasePort(), 12);
    private final Map<String, Process> processes = new LinkedHashMap<>();

    @TempDir
    private Path folder;

    @AfterEach
    void stop() throws InterruptedException {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            process.waitFor();
        }
    }

    /**
     * During a job and online streams, one steward is killed and another is suspended until its lease has expired.
     * When the suspended one resumes, it acts on claims that it no longer holds. Each item still has its correct result
     * once, and each stream ends complete.
     */
    @Test
    void aKilledAndASuspendedStewardHarmNeitherStreamsNorTheJob() throws IOException {
        startAll();
        byte[] body = SystemFixture.jobBody("lot", ITEMS, "portfolio");
        try (EntryClient coordinator = client(0, SampleFleet.COORDINATORS_KEY);
                EntryClient tutor = client(1, SampleFleet.TUTORS_KEY)) {
            assertThat(coordinator
                            .call("PUT", "/v1/jobs/lot?model=tutor-7b", body)
                            .status())
                    .isEqualTo(201);
            Loopback.await("a first chunk", () -> completedItems(coordinator) > 0);
            sendSignal("steward-0", "KILL");
            sendSignal("steward-1", "STOP");
            List<CompletableFuture<StreamedAnswerChecker.Result>> answers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                StreamedAnswerChecker checker =
                        new StreamedAnswerChecker(SampleAnswers.chatAnswer("sketch " + i, 20), System.nanoTime());
                tutor.start("POST", "/v1/chat/completions", SampleAnswers.chatBody("sketch " + i, 20), checker);
                answers.add(checker.result());
            }
            assertThat(answers).allMatch(answer -> answer.join().end() == End.WHOLE);
            Loopback.await("the loss of the suspended steward", () -> isReportedDead("steward-1"));
            sendSignal("steward-1", "CONT");
            Loopback.await("the end of the job", () -> completedItems(coordinator) == ITEMS);
            checkResults(coordinator);
        }
    }

    private void checkResults(EntryClient coordinator) {
        HttpResult results = coordinator.call("GET", "/v1/jobs/lot/results", new byte[0]);
        String[] lines = new String(results.body(), StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasSize(ITEMS);
        for (int i = 0; i < ITEMS; i++) {
            String prompt = SystemFixture.itemPrompt("lot", i, "portfolio");
            assertThat(lines[i])
                    .contains("\"index\":" + i + ",", SampleAnswers.promptAnswer(prompt, SystemFixture.TOKENS));
        }
    }

    private void startAll() throws IOException {
        start("standins", StandinsMain.class, "--base-port", Integer.toString(fleet.basePort()));
        Loopback.await(
                "the stand-ins", () -> acceptsConnections(fleet.engine(11).port()));
        try (PlatformOptions.Connection connection = new PlatformOptions.Connection(fleet.keyValue())) {
            new ConfigurationEditor(connection.keyValue()).apply(fleet.configuration(), "test", 0);
        }
        for (int i = 0; i < HOSTS_PER_ROLE; i++) {
            startHost(
                    fleet.store(i).id().value(),
                    StoreMain.class,
                    i,
                    fleet.store(i),
                    "--data-folder",
                    folder.resolve("data-" + i).toString());
            startHost(fleet.steward(i).id().value(), StewardMain.class, i, fleet.steward(i));
            startHost(
                    fleet.entry(i).id().value(),
                    EntryMain.class,
                    i,
                    fleet.entry(i),
                    "--http-address",
                    fleet.entryHttp(i).toString());
        }
        for (int i = 0; i < HOSTS_PER_ROLE; i++) {
            try (EntryClient client = client(i, SampleFleet.TUTORS_KEY)) {
                Loopback.await("entry " + i, () -> isReady(client));
            }
        }
    }

    private void startHost(String id, Class<?> main, int number, Host host, String... roleArguments)
            throws IOException {
        List<String> arguments = new ArrayList<>(List.of(
                "--host-id", id,
                "--zone", SampleFleet.zone(number).name(),
                "--peer-address", host.address().toString(),
                "--key-value-address", fleet.keyValue().toString(),
                "--host-list-address", fleet.hostList().toString(),
                "--lease-millis", "2000"));
        arguments.addAll(List.of(roleArguments));
        start(id, main, arguments.toArray(String[]::new));
    }

    private void start(String name, Class<?> main, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        processes.put(name, builder.start());
    }

    private void sendSignal(String name, String signal) throws IOException {
        long id = processes.get(name).pid();
        Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(id)).start();
        Loopback.await("the signal", () -> !kill.isAlive());
    }

    private boolean isReportedDead(String host) {
        try {
            List<TimelineEvent> events = TimelineCommand.merge(List.of(folder));
            return events.stream()
                    .anyMatch(event -> event.kind().equals("membership.changed")
                            && event.detail("state").equals("DEAD")
                            && event.detail("host").equals(host));
        } catch (IOException e) {
            return false;
        }
    }

    private EntryClient client(int entry, String key) {
        return new EntryClient(fleet.entryHttp(entry), key);
    }

    private static int completedItems(EntryClient client) {
        HttpResult status = client.call("GET", "/v1/jobs/lot", new byte[0]);
        return Json.tree(status.body())
                .map(json -> json.path("completed").asInt())
                .getOrElse(0);
    }

    private static boolean isReady(EntryClient client) {
        try {
            return client.call("GET", "/readyz", new byte[0]).status() == 200;
        } catch (CompletionException e) {
            return false;
        }
    }

    private static boolean acceptsConnections(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
