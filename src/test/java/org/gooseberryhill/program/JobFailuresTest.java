package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.standin.EngineFaults;
import org.gooseberryhill.standin.EngineStandin;
import org.gooseberryhill.standin.KeyValueFaults;
import org.gooseberryhill.standin.SampleFleet;
import org.gooseberryhill.store.StoreProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests jobs on a small system while parts of it fail. */
class JobFailuresTest {
    private static final int ITEMS = 600;

    @TempDir
    private Path folder;

    private SystemFixture fixture;

    @BeforeEach
    void start() {
        fixture = new SystemFixture(folder, 4, SystemFixture.FAST);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /**
     * The steward that owns the job is lost with items in flight. Its lease expires, another steward claims the job and
     * continues after the committed chunks: each item has its correct result once.
     */
    @Test
    void aJobGoesOnWhenItsOwnerIsLost() {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        int owner = fixture.awaitOwner("lot");
        fixture.system.stewards().get(owner).close();

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
        assertThat(fixture.results("lot")).hasSize(ITEMS);
    }

    /**
     * The steward that owns the job is lost together with the store and the entry of its zone. The other zones have the
     * items, another steward claims the job, and the results are read through a remaining entry.
     */
    @Test
    void aJobGoesOnWhenAHostWithAllItsProcessesIsLost() {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        int host = fixture.awaitOwner("lot");
        fixture.system.stewards().get(host).close();
        fixture.system.stores().get(host).close();
        if (host != 0) {
            fixture.system.entries().get(host).close();
        }

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /**
     * All leases expire at once while their holders work. The holders stop their jobs and claim them again, and no
     * result appears twice.
     */
    @Test
    void aJobGoesOnWhenAllLeasesExpire() {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        Loopback.await("work", () -> totalServed() > 0);
        fixture.system.platform().keyValue().expireAllLeases();

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /** The key-value store fails during a job and recovers: the job ends with one correct result for each item. */
    @Test
    void aJobGoesOnAfterAnOutageOfTheKeyValueService() {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        Loopback.await("work", () -> totalServed() > 0);
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(true, 0, 0, 0, false));
        int servedAtOutageStart = totalServed();
        Loopback.await("work during the outage", () -> totalServed() > servedAtOutageStart + ITEMS / 4);
        fixture.system.platform().keyValue().setFaults(KeyValueFaults.NONE);

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /** The next three writes take effect but their answers are lost: the claim and the commits remain valid. */
    @Test
    void aJobEndsWhenAnswersOfTheKeyValueServiceAreLost() {
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(false, 0, 3, 0, false));
        HttpResult accepted = fixture.submit(fixture.coordinator, "lot", ITEMS);

        assertThat(accepted.status()).isEqualTo(201);
        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /**
     * The claim of the job takes effect but its answer is lost, and the read that would confirm it fails too. The host
     * holds the claim without knowing of it: unless it finds its claim, its live lease keeps all others from claiming
     * the job.
     */
    @Test
    void aClaimThatItsHolderDoesNotKnowOfIsFound() {
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(false, 0, 2, 1, false));
        fixture.submit(fixture.coordinator, "lot", ITEMS);

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /**
     * The entry is lost during a submission. The partial submission has no effect; the caller resends the whole job
     * through another entry, where it is accepted.
     */
    @Test
    void aSubmissionResentAfterTheLossOfItsEntryIsOneJob() throws IOException {
        byte[] body = SystemFixture.jobBody("lot", ITEMS, "portfolio");
        Address lostEntry = fixture.system.fleet().entryHttp(0);
        try (Socket socket = new Socket(lostEntry.ip(), lostEntry.port())) {
            String head = "PUT /v1/jobs/lot?model=tutor-7b HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
                    + SampleFleet.COORDINATORS_KEY + "\r\ncontent-length: " + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body, 0, body.length / 2);
            socket.getOutputStream().flush();
            Loopback.await("a first segment", () -> countDistinctSegments(List.of(0, 1, 2)) > 0);
            fixture.system.entries().get(0).close();
        }
        try (EntryClient other = fixture.system.client(1, SampleFleet.COORDINATORS_KEY)) {
            assertThat(other.call("GET", "/v1/jobs/lot", new byte[0]).status()).isEqualTo(404);
            assertThat(fixture.submit(other, "lot", ITEMS).status()).isEqualTo(201);
            Loopback.await(
                    "the end of the job",
                    () -> new String(
                                    other.call("GET", "/v1/jobs/lot", new byte[0])
                                            .body(),
                                    StandardCharsets.UTF_8)
                            .contains("\"state\":\"done\""));
            byte[] results =
                    other.call("GET", "/v1/jobs/lot/results", new byte[0]).body();
            assertThat(new String(results, StandardCharsets.UTF_8).split("\n")).hasSize(ITEMS);
        }
    }

    /** The caller sends the same job through two hosts concurrently, then a different body under the same id. */
    @Test
    void aResentJobIsTheSameJobAndAnotherBodyIsAConflict() {
        try (EntryClient other = fixture.system.client(1, SampleFleet.COORDINATORS_KEY)) {
            CompletableFuture<HttpResult> one =
                    CompletableFuture.supplyAsync(() -> fixture.submit(fixture.coordinator, "lot", ITEMS));
            CompletableFuture<HttpResult> two =
                    CompletableFuture.supplyAsync(() -> fixture.submit(other, "lot", ITEMS));
            HttpResult otherJob = fixture.coordinator.call(
                    "PUT", "/v1/jobs/other?model=tutor-7b", SystemFixture.jobBody("other", 3, "portfolio"));

            assertThat(List.of(one.join().status(), two.join().status())).containsExactlyInAnyOrder(201, 200);
            assertThat(otherJob.status()).isEqualTo(201);
            HttpResult conflict =
                    other.call("PUT", "/v1/jobs/lot?model=tutor-7b", SystemFixture.jobBody("lot", ITEMS, "another"));
            assertThat(conflict.status()).isEqualTo(409);
            assertThat(SystemFixture.error(conflict).path("code").asText()).isEqualTo("conflict");
        }
        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /** The caller cancels a running job: after the answer no further result appears, and the work stops. */
    @Test
    void aCancelledJobStops() {
        fixture.submit(fixture.coordinator, "lot", 4 * ITEMS);
        Loopback.await(
                "a first chunk",
                () -> fixture.jobStatus("lot").path("completed").asInt() > 0);
        HttpResult cancelled = fixture.coordinator.call("DELETE", "/v1/jobs/lot", new byte[0]);
        int completed = fixture.jobStatus("lot").path("completed").asInt();

        assertThat(cancelled.status()).isEqualTo(200);
        Loopback.await(
                "the end of all work",
                () -> fixture.system.stewards().stream().allMatch(steward -> steward.itemsInProgress() == 0));
        assertThat(fixture.jobStatus("lot").path("completed").asInt()).isEqualTo(completed);
        assertThat(fixture.jobStatus("lot").path("state").asText()).isEqualTo("cancelled");
    }

    /**
     * The job's record is cancelled but the notice to its owner is lost, so the owner keeps working. Its next commit
     * must fail because the record has changed, so that no result appears after the cancellation.
     */
    @Test
    void aCancelledJobGetsNoResultAlsoIfItsOwnerIsNotNotified() {
        fixture.submit(fixture.coordinator, "lot", 4 * ITEMS);
        Loopback.await(
                "a first chunk",
                () -> fixture.jobStatus("lot").path("completed").asInt() > 0);
        String key = Keys.job(new JobKey("coordinators", "lot"));
        try (PlatformOptions.Connection connection =
                new PlatformOptions.Connection(fixture.system.fleet().keyValue())) {
            JobRecord record = Json.read(
                            connection
                                    .keyValue()
                                    .read(key)
                                    .join()
                                    .first()
                                    .orElseThrow()
                                    .value(),
                            JobRecord.class)
                    .get();
            Transaction cancel = Transaction.builder()
                    .put(key, Json.bytes(record.withState(JobState.CANCELLED)))
                    .build();
            connection.keyValue().write(cancel).join();
        }
        int completed = fixture.jobStatus("lot").path("completed").asInt();

        Loopback.await(
                "the end of all work",
                () -> fixture.system.stewards().stream().allMatch(steward -> steward.itemsInProgress() == 0));
        assertThat(fixture.jobStatus("lot").path("completed").asInt()).isEqualTo(completed);
    }

    /**
     * A store and its disk are lost after the job is done. The results are read from the other zones, and the missing
     * copies are restored on another store automatically.
     */
    @Test
    void resultsOutliveALostStoreAndTheirCopiesAreRestored() throws IOException {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        fixture.awaitJob("lot", "done");
        long segments = countDistinctSegments(List.of(0, 1, 2));
        fixture.system.stores().get(0).close();

        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
        Loopback.await(
                "two copies of each segment", () -> countSegments(1) == segments && countSegments(2) == segments);
    }

    /**
     * Two stores are stopped as planned, one after the other, each with its disk. Each copies its segments to the other
     * stores before it ends, so that no results are lost.
     */
    @Test
    void resultsOutliveThePlannedStopOfTwoStoresInTurn() {
        fixture.submit(fixture.coordinator, "lot", ITEMS);
        fixture.awaitJob("lot", "done");
        for (int store = 0; store < 2; store++) {
            StoreProcess leaving = fixture.system.stores().get(store);
            leaving.process().requestStop();
            Loopback.await("the hand-over", () -> leaving.process().ended().isDone());
            leaving.close();
        }

        assertThat(fixture.countCorrectResults("lot")).isEqualTo(ITEMS);
    }

    /** One item crashes each engine that runs it. The job ends with that item failed and all others correct. */
    @Test
    void anItemThatCrashesEnginesFailsAndTheRestIsDone() {
        for (EngineStandin engine : fixture.system.platform().engines()) {
            engine.setFaults(new EngineFaults(Optional.of("portfolio lot 7\""), 300, true, false, false));
        }
        byte[] body = new String(SystemFixture.jobBody("lot", 40, "portfolio"), StandardCharsets.UTF_8)
                .replace("portfolio lot 7\"", "portfolio lot 7\\\"\"")
                .getBytes(StandardCharsets.UTF_8);
        fixture.coordinator.call("PUT", "/v1/jobs/lot?model=tutor-7b", body);

        fixture.awaitJob("lot", "done");
        List<JsonNode> results = fixture.results("lot");
        assertThat(results).hasSize(40);
        assertThat(results.get(7).path("error").path("code").asText()).isEqualTo("crashed-endpoints");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(39);
    }

    /** Line 40,000 is malformed: the error message names the line, and no part of the job is accepted. */
    @Test
    void aMalformedBodyIsRefusedAsAWhole() {
        String line = "{\"prompt\":\"x\"}\n";
        byte[] body = (line.repeat(39_999) + "{\"prompt\":\n" + line).getBytes(StandardCharsets.UTF_8);

        HttpResult refused = fixture.coordinator.call("PUT", "/v1/jobs/lot?model=tutor-7b", body);

        assertThat(refused.status()).isEqualTo(400);
        assertThat(SystemFixture.error(refused).path("message").asText()).contains("line 40000");
        assertThat(fixture.coordinator.call("GET", "/v1/jobs/lot", new byte[0]).status())
                .isEqualTo(404);
    }

    @Test
    void aCallerSeesOnlyItsOwnJobs() {
        fixture.submit(fixture.coordinator, "lot", 3);

        assertThat(fixture.tutor.call("GET", "/v1/jobs/lot", new byte[0]).status())
                .isEqualTo(404);
        try (EntryClient stranger = fixture.system.client(0, "no such key")) {
            assertThat(stranger.call("GET", "/v1/jobs/lot", new byte[0]).status())
                    .isEqualTo(401);
        }
    }

    private int totalServed() {
        return fixture.system.platform().engines().stream()
                .mapToInt(EngineStandin::servedCount)
                .sum();
    }

    private long countSegments(int store) {
        return segmentNames(store).count();
    }

    private long countDistinctSegments(List<Integer> stores) {
        return stores.stream().flatMap(this::segmentNames).distinct().count();
    }

    private Stream<String> segmentNames(int store) {
        try (Stream<Path> files = Files.list(fixture.system.storeFolder(store))) {
            return files
                    .map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".segment"))
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
