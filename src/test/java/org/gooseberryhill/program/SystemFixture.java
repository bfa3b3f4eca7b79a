package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.SampleAnswers;
import org.gooseberryhill.standin.SampleFleet;

/** A small system with stand-ins, and helper methods that act as its callers. */
final class SystemFixture implements Closeable {
    static final int TOKENS = 12;
    static final EngineSpeed FAST = new EngineSpeed(8, 3, 256, 16);

    final SampleSystem system;
    final EntryClient tutor;
    final EntryClient student;
    final EntryClient coordinator;

    SystemFixture(Path folder, int engines, EngineSpeed speed) {
        system = new SampleSystem(new SampleFleet(Loopback.freeBasePort(), engines), speed, folder, false);
        tutor = system.client(0, SampleFleet.TUTORS_KEY);
        student = system.client(0, SampleFleet.STUDENTS_KEY);
        coordinator = system.client(0, SampleFleet.COORDINATORS_KEY);
        awaitFleet();
    }

    /** Waits until each host knows all others and has the configuration in force. */
    void awaitFleet() {
        Loopback.await(
                "hosts that know each other",
                () -> processes().stream()
                        .allMatch(process -> callOnLoop(
                                process,
                                () -> process.presentHosts(Role.ENTRY).size()
                                                        + process.presentHosts(Role.STEWARD)
                                                                .size()
                                                        + process.presentHosts(Role.STORE)
                                                                .size()
                                                == processes().size()
                                        && process.configuration().revision() > 0)));
    }

    List<HostProcess> processes() {
        List<HostProcess> processes = new ArrayList<>();
        system.entries().forEach(entry -> processes.add(entry.process()));
        system.stewards().forEach(steward -> processes.add(steward.process()));
        system.stores().forEach(store -> processes.add(store.process()));
        return processes;
    }

    static <T> T callOnLoop(HostProcess process, Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        process.loop().execute(() -> result.complete(query.get()));
        return result.join();
    }

    /** Submits a job and asserts that it is accepted. */
    HttpResult submit(EntryClient client, String id, int items) {
        HttpResult result = client.call("PUT", "/v1/jobs/" + id + "?model=tutor-7b", jobBody(id, items, "portfolio"));
        assertThat(result.status()).as("the submission's status").isIn(200, 201);
        return result;
    }

    static byte[] jobBody(String id, int items, String prefix) {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < items; i++) {
            lines.append(Json.text(Map.of("prompt", itemPrompt(id, i, prefix), "max_tokens", TOKENS)))
                    .append('\n');
        }
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    static String itemPrompt(String id, int index, String prefix) {
        return prefix + " " + id + " " + index;
    }

    JsonNode jobStatus(String id) {
        return Json.tree(coordinator.call("GET", "/v1/jobs/" + id, new byte[0]).body())
                .getOrElse(Json.object());
    }

    void awaitJob(String id, String state) {
        Loopback.await(
                "job " + id + " " + state,
                () -> jobStatus(id).path("state").asText().equals(state));
    }

    /** Returns the lines of a job's results, in the order received. */
    List<JsonNode> results(String id) {
        HttpResult result = coordinator.call("GET", "/v1/jobs/" + id + "/results", new byte[0]);
        List<JsonNode> lines = new ArrayList<>();
        for (String line : new String(result.body(), StandardCharsets.UTF_8).split("\n")) {
            if (!line.isBlank() && result.status() == 200) {
                lines.add(Json.tree(line.getBytes(StandardCharsets.UTF_8)).get());
            }
        }
        return lines;
    }

    /** Returns how many result lines are the correct result of the item with the index of the line. */
    long countCorrectResults(String id) {
        List<JsonNode> lines = results(id);
        long correct = 0;
        for (int i = 0; i < lines.size(); i++) {
            String expected = SampleAnswers.promptAnswer(itemPrompt(id, i, "portfolio"), TOKENS);
            boolean indexMatches = lines.get(i).path("index").asInt(-1) == i;
            if (indexMatches && lines.get(i).path("text").asText().equals(expected)) {
                correct++;
            }
        }
        return correct;
    }

    /** Waits until a steward owns a job and returns the steward's number. */
    int awaitOwner(String id) {
        JobKey key = new JobKey("coordinators", id);
        List<String> owner = new ArrayList<>();
        try (PlatformOptions.Connection connection =
                new PlatformOptions.Connection(system.fleet().keyValue())) {
            Loopback.await("an owner of " + id, () -> {
                Optional<String> found = connection
                        .keyValue()
                        .read(Keys.jobClaim(key))
                        .join()
                        .first()
                        .map(entry -> new String(entry.value(), StandardCharsets.UTF_8));
                found.ifPresent(owner::add);
                return found.isPresent();
            });
        }
        String host = owner.get(0).substring(0, owner.get(0).indexOf('/'));
        return Integer.parseInt(host.substring("steward-".length()));
    }

    CompletableFuture<StreamedAnswerChecker.Result> startStream(EntryClient client, String prompt, int tokens) {
        StreamedAnswerChecker checker =
                new StreamedAnswerChecker(SampleAnswers.chatAnswer(prompt, tokens), System.nanoTime());
        client.start("POST", "/v1/chat/completions", SampleAnswers.chatBody(prompt, tokens), checker);
        return checker.result();
    }

    HttpResult book(EntryClient client, String seat, String key) {
        byte[] body = Json.bytes(Map.of("seat", seat));
        return client.call("POST", "/services/bookings/bookings", body, Map.of("idempotency-key", key));
    }

    long countBookings(String seat) {
        return system.platform().plainServices().stream()
                .flatMap(service -> service.bookings().stream())
                .filter(body -> body.contains("\"" + seat + "\""))
                .count();
    }

    static JsonNode error(HttpResult result) {
        return Json.tree(result.body()).getOrElse(Json.object()).path("error");
    }

    @Override
    public void close() {
        tutor.close();
        student.close();
        coordinator.close();
        system.close();
    }
}
