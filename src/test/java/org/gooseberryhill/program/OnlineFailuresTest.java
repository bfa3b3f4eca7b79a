package org.gooseberryhill.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.http.HttpResult;
import org.gooseberryhill.program.StreamedAnswerChecker.End;
import org.gooseberryhill.standin.EngineFaults;
import org.gooseberryhill.standin.EngineStandin;
import org.gooseberryhill.standin.KeyValueFaults;
import org.gooseberryhill.standin.PlainServiceStandin;
import org.gooseberryhill.standin.SampleAnswers;
import org.gooseberryhill.standin.SampleFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests online requests on a small system while parts of it fail. */
class OnlineFailuresTest {
    private static final int ENGINES = 6;

    /**
     * Number of streams that run at a time. Requests whose engine was killed are retried in isolation, one per engine,
     * so only a few of them can run at once.
     */
    private static final int CONCURRENT_STREAMS = 8;

    @TempDir
    private Path folder;

    private SystemFixture fixture;

    @BeforeEach
    void start() {
        fixture = new SystemFixture(folder, ENGINES, SystemFixture.FAST);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /**
     * Engines are killed one after the other while they stream: each stream continues on another engine and completes.
     */
    @Test
    void streamsCompleteAlthoughEnginesAreKilled() {
        Set<EngineStandin> killed = new HashSet<>();
        while (killed.size() < 2) {
            List<CompletableFuture<StreamedAnswerChecker.Result>> answers = new ArrayList<>();
            EngineStandin busyEngine = awaitBusyEngine(killed, answers);
            busyEngine.crash();
            killed.add(busyEngine);

            // The streams end before the next engine is killed, since a request that is in flight at two crashes counts
            // as their cause.
            assertThat(answers).allMatch(answer -> answer.join().end() == End.WHOLE);
        }
    }

    /**
     * Engines end their streams early as if they were complete, but without the end mark. While other engines work
     * correctly, the streams continue there and complete; otherwise the caller sees a truncated stream, never a normal
     * end.
     */
    @Test
    void aStreamWithoutItsEndMarkIsNeverReportedAsComplete() {
        EngineFaults early = new EngineFaults(Optional.empty(), 0, true, false, true);
        fixture.system.platform().engines().subList(0, 2).forEach(engine -> engine.setFaults(early));
        List<CompletableFuture<StreamedAnswerChecker.Result>> answers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answers.add(fixture.startStream(fixture.tutor, "sketch " + i, 20));
        }
        assertThat(answers).allMatch(answer -> answer.join().end() == End.WHOLE);

        fixture.system.platform().engines().forEach(engine -> engine.setFaults(early));
        for (int i = 0; i < 5; i++) {
            assertThat(fixture.startStream(fixture.tutor, "cut " + i, 20).join().end())
                    .isEqualTo(End.CUT);
        }
    }

    /**
     * A booking takes effect but its answer is lost. The caller is told that it may have run, resends it through
     * another host, and gets the same outcome: the seat is booked once.
     */
    @Test
    void aBookingWhoseAnswerIsLostIsNotRepeated() {
        fixture.system.platform().plainServices().forEach(service -> service.loseNextAnswers(1));
        HttpResult first = fixture.book(fixture.student, "seat-1", "key-1");

        assertThat(first.status()).isEqualTo(502);
        assertThat(SystemFixture.error(first).path("outcome").asText()).isEqualTo("may-have-run");
        Loopback.await(
                "the mark of the lost answer", () -> resend("seat-1", "key-1").status() == 502);
        assertThat(fixture.countBookings("seat-1")).isEqualTo(1);
    }

    /** The same booking without an idempotency key is sent once and not repeated by the system. */
    @Test
    void aBookingWithoutAKeyIsSentOnce() {
        fixture.system.platform().plainServices().forEach(service -> service.loseNextAnswers(1));
        HttpResult result = fixture.student.call(
                "POST", "/services/bookings/bookings", "{\"seat\":\"seat-2\"}".getBytes(StandardCharsets.UTF_8));

        assertThat(result.status()).isEqualTo(502);
        assertThat(fixture.countBookings("seat-2")).isEqualTo(1);
    }

    @Test
    void aResentBookingGetsTheStoredAnswer() {
        HttpResult first = fixture.book(fixture.student, "seat-3", "key-3");
        HttpResult second = resend("seat-3", "key-3");

        assertThat(first.status()).isEqualTo(201);
        assertThat(second.status()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(second.headers().get("x-replayed")).isEqualTo("true");
        assertThat(fixture.countBookings("seat-3")).isEqualTo(1);
    }

    /**
     * The student resends the booking while the first attempt is in progress. The resent one is refused, and the seat
     * is booked once.
     */
    @Test
    void aBookingSentTwiceAtOnceRunsOnce() {
        fixture.system.platform().plainServices().forEach(service -> service.withholdNextAnswers(1));
        CompletableFuture<HttpResult> first =
                CompletableFuture.supplyAsync(() -> fixture.book(fixture.student, "seat-4", "key-4"));
        Loopback.await("the booking", () -> fixture.countBookings("seat-4") == 1);
        HttpResult second = resend("seat-4", "key-4");
        fixture.system.platform().plainServices().forEach(PlainServiceStandin::answerWithheldBookings);

        assertThat(second.status()).isEqualTo(409);
        assertThat(SystemFixture.error(second).path("code").asText()).isEqualTo("in-progress");
        assertThat(first.join().status()).isEqualTo(201);
        assertThat(fixture.countBookings("seat-4")).isEqualTo(1);
    }

    /**
     * The entry is lost while the booking that it claimed and sent is in progress. The student resends it through
     * another entry and is told that it may have run; the seat is booked once.
     */
    @Test
    void aBookingWhoseEntryIsLostIsNotRepeated() {
        fixture.system.platform().plainServices().forEach(service -> service.withholdNextAnswers(1));
        CompletableFuture<HttpResult> first =
                CompletableFuture.supplyAsync(() -> fixture.book(fixture.student, "seat-7", "key-7"));
        Loopback.await("the booking", () -> fixture.countBookings("seat-7") == 1);
        fixture.system.entries().get(0).close();
        HttpResult second = resend("seat-7", "key-7");

        assertThat(first).failsWithin(Duration.ofSeconds(30));
        assertThat(second.status()).isEqualTo(409);
        assertThat(SystemFixture.error(second).path("outcome").asText()).isEqualTo("may-have-run");
        assertThat(fixture.countBookings("seat-7")).isEqualTo(1);
    }

    /** During an outage of the key-value store a booking can't be claimed: it is correctly refused as not run. */
    @Test
    void duringAnOutageABookingIsRefusedAsNotRun() {
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(true, 0, 0, 0, false));
        HttpResult refused = fixture.book(fixture.student, "seat-5", "key-5");

        assertThat(refused.status()).isEqualTo(503);
        assertThat(SystemFixture.error(refused).path("outcome").asText()).isEqualTo("not-run");
        assertThat(refused.headers().get("retry-after")).isNotNull();
        assertThat(fixture.countBookings("seat-5")).isZero();
        fixture.system.platform().keyValue().setFaults(KeyValueFaults.NONE);
        Loopback.await(
                "the booking",
                () -> fixture.book(fixture.student, "seat-5", "key-5").status() == 201);
        assertThat(fixture.countBookings("seat-5")).isEqualTo(1);
    }

    /** The claim takes effect but its answer is lost: the host finds its own claim and sends the booking once. */
    @Test
    void aClaimWhoseAnswerIsLostStillLeadsToOneBooking() {
        fixture.system.platform().keyValue().setFaults(new KeyValueFaults(false, 0, 1, 0, false));

        assertThat(fixture.book(fixture.student, "seat-6", "key-6").status()).isEqualTo(201);
        assertThat(fixture.countBookings("seat-6")).isEqualTo(1);
    }

    @Test
    void recordsArePassedThroughUnchanged() {
        HttpResult record = fixture.student.call("GET", "/services/bookings/records/r7", new byte[0]);

        assertThat(record.body()).isEqualTo(PlainServiceStandin.record("r7"));
        assertThat(record.headers().get("x-record")).isEqualTo("yes");
        assertThat(fixture.student
                        .call("GET", "/services/bookings/none", new byte[0])
                        .status())
                .isEqualTo(404);
    }

    /**
     * A request crashes each engine that runs it, and its caller resends it through every host. After two crashes every
     * host refuses it immediately; requests that ran at the same time still get their answers.
     */
    @Test
    void aRequestThatCrashesEnginesIsRefusedByAllHostsAfterTwoCrashes() {
        fixture.system
                .platform()
                .engines()
                .forEach(engine -> engine.setFaults(new EngineFaults(Optional.of("poison"), 200, true, false, false)));
        List<CompletableFuture<StreamedAnswerChecker.Result>> concurrentStreams = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            concurrentStreams.add(fixture.startStream(fixture.tutor, "sketch " + i, 60));
        }
        List<Integer> statuses = new ArrayList<>();
        for (int attempt = 0; attempt < 9; attempt++) {
            try (EntryClient client = fixture.system.client(attempt % 3, SampleFleet.TUTORS_KEY)) {
                statuses.add(client.call("POST", "/v1/chat/completions", SampleAnswers.chatBody("poison", 20))
                        .status());
            }
        }

        assertThat(totalCrashes()).isEqualTo(2);
        assertThat(statuses).containsOnly(422);
        assertThat(concurrentStreams).allMatch(answer -> answer.join().end() == End.WHOLE);
    }

    /**
     * A request that crashes engines is sent through all hosts at once: after two crashes it is refused, but copies in
     * flight before the first crash may cause one more.
     */
    @Test
    void aRequestThatCrashesEnginesSentThroughAllHostsAtOnceCrashesAFew() {
        fixture.system
                .platform()
                .engines()
                .forEach(engine -> engine.setFaults(new EngineFaults(Optional.of("poison"), 200, true, false, false)));
        List<CompletableFuture<StreamedAnswerChecker.Result>> sent = new ArrayList<>();
        List<EntryClient> clients = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            EntryClient client = fixture.system.client(i % 3, SampleFleet.TUTORS_KEY);
            clients.add(client);
            sent.add(fixture.startStream(client, "poison", 20));
        }

        assertThat(sent).noneMatch(answer -> answer.join().end() == End.WHOLE);
        assertThat(totalCrashes()).isBetween(2, 3);
        clients.forEach(EntryClient::close);
    }

    /**
     * An engine reports that it is leaving while the host list lags. Its running requests complete; within a few
     * seconds all hosts know that it is leaving, and it gets no new requests, neither online nor batch.
     */
    @Test
    void aLeavingEngineCompletesItsRequestsAndGetsNoNewOnes() {
        List<CompletableFuture<StreamedAnswerChecker.Result>> streamsBefore = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            streamsBefore.add(fixture.startStream(fixture.tutor, "before " + i, 100));
        }
        fixture.submit(fixture.coordinator, "lot", 600);
        engine(0).setFaults(new EngineFaults(Optional.empty(), 0, true, true, false));
        Loopback.await(
                "all hosts know",
                () -> fixture.system.entries().stream()
                                .allMatch(entry -> SystemFixture.callOnLoop(
                                        entry.process(), () -> entry.isEndpointLeaving("tutor-00")))
                        && engine(0).isIdle());
        int servedBefore = engine(0).servedCount();
        List<CompletableFuture<StreamedAnswerChecker.Result>> streamsAfter = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            streamsAfter.add(fixture.startStream(fixture.tutor, "after " + i, 10));
        }

        assertThat(streamsAfter).allMatch(answer -> answer.join().end() == End.WHOLE);
        assertThat(streamsBefore).allMatch(answer -> answer.join().end() == End.WHOLE);
        fixture.awaitJob("lot", "done");
        assertThat(engine(0).servedCount()).isEqualTo(servedBefore);
    }

    /**
     * A planned stop of an entry is requested twice while streams are in progress, and an engine is lost in between.
     * All streams complete, and new requests are refused.
     */
    @Test
    void aPlannedStopOfAnEntryCutsNoStreamAlsoWhenAnEngineIsLost() {
        List<CompletableFuture<StreamedAnswerChecker.Result>> answers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            answers.add(fixture.startStream(fixture.tutor, "sketch " + i, 100));
        }
        Loopback.await("streams in progress", () -> countBusyEngines() > 0);
        EntryClient late = fixture.system.client(0, SampleFleet.TUTORS_KEY);
        fixture.system.entries().get(0).process().requestStop();
        engine(2).crash();
        fixture.system.entries().get(0).process().requestStop();

        assertThat(answers).allMatch(answer -> answer.join().end() == End.WHOLE);
        fixture.system.entries().get(0).process().ended().join();
        HttpResult refused = late.call("POST", "/v1/chat/completions", SampleAnswers.chatBody("late", 4));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(SystemFixture.error(refused).path("code").asText()).isEqualTo("stopping");
        late.close();
    }

    /** A steward is stopped as planned during a job: its items continue elsewhere from where they stopped. */
    @Test
    void aPlannedStopOfAStewardLosesNoItem() {
        fixture.submit(fixture.coordinator, "lot", 600);
        int owner = fixture.awaitOwner("lot");
        Loopback.await("items in progress", () -> countBusyEngines() > 0);
        fixture.system.stewards().get(owner).process().requestStop();
        fixture.system.stewards().get(owner).process().ended().join();
        fixture.system.stewards().get(owner).close();

        fixture.awaitJob("lot", "done");
        assertThat(fixture.countCorrectResults("lot")).isEqualTo(600);
    }

    @Test
    void wrongRequestsGetClearErrors() {
        Map<String, Integer> expected = Map.of(
                "{\"model\":\"no such\",\"prompt\":\"x\"}", 404,
                "{\"model\":\"tutor-7b\"}", 400,
                "not json", 400);
        expected.forEach((body, status) -> {
            HttpResult result = fixture.tutor.call("POST", "/v1/completions", body.getBytes(StandardCharsets.UTF_8));
            assertThat(result.status()).isEqualTo(status);
            assertThat(SystemFixture.error(result).path("outcome").asText()).isEqualTo("not-run");
        });
        HttpResult large = fixture.tutor.call("POST", "/v1/completions", new byte[5 * 1024 * 1024]);
        assertThat(large.status()).isEqualTo(413);
        assertThat(fixture.student
                        .call("POST", "/v1/completions", SampleAnswers.chatBody("x", 1))
                        .status())
                .isEqualTo(404);
    }

    private HttpResult resend(String seat, String key) {
        try (EntryClient other = fixture.system.client(1, SampleFleet.STUDENTS_KEY)) {
            return fixture.book(other, seat, key);
        }
    }

    private EngineStandin engine(int number) {
        return fixture.system.platform().engines().get(number);
    }

    /** Returns an engine that has streams in progress; starts new streams whenever all have ended. */
    private EngineStandin awaitBusyEngine(
            Set<EngineStandin> excluded, List<CompletableFuture<StreamedAnswerChecker.Result>> answers) {
        List<EngineStandin> busyEngines = new ArrayList<>();
        Loopback.await("an engine with streams", () -> {
            boolean allEnded = answers.stream().allMatch(CompletableFuture::isDone);
            for (int i = 0; allEnded && i < CONCURRENT_STREAMS; i++) {
                answers.add(fixture.startStream(fixture.tutor, "sketch " + excluded.size() + " " + answers.size(), 60));
            }
            fixture.system.platform().engines().stream()
                    .filter(engine -> !engine.isIdle() && !excluded.contains(engine))
                    .forEach(busyEngines::add);
            return !busyEngines.isEmpty();
        });
        return busyEngines.get(0);
    }

    private long countBusyEngines() {
        return fixture.system.platform().engines().stream()
                .filter(engine -> !engine.isIdle())
                .count();
    }

    private int totalCrashes() {
        return fixture.system.platform().engines().stream()
                .mapToInt(EngineStandin::crashCount)
                .sum();
    }
}
