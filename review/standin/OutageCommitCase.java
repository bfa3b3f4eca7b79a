package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.platform.standin.StoreFaults;

/**
 * The store is down for some seconds while a large batch job runs. Judges the rule that each item of an open batch job is
 * listed when the time to finish is over.
 */
final class OutageCommitCase {
    private static final int ITEMS = 200;
    private static final int EVENTS = 35;

    /** The length of an event: fewer and longer ones than on the sheet, so that the case needs little processor time. */
    private static final int EVENT_BYTES = 350;

    private static final int MODEL_RUNNERS = 6;
    private static final int SLOTS = 8;
    private static final int OUTAGE_MILLIS = 4500;
    private static final int FINISH_MILLIS = 18_000;
    private static final int CALM_MILLIS = 5000;
    private static final int NOTHING_FINISHED_MILLIS = 3000;

    private final Recorder recorder;
    private final boolean trouble;
    private final Map<String, Long> finishedAtMillis = new ConcurrentHashMap<>();
    private final AtomicLong lastRunAtMillis = new AtomicLong();
    private final Map<String, Integer> running = new ConcurrentHashMap<>();

    private OutageCommitCase(Recorder recorder, boolean trouble) {
        this.recorder = recorder;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
            status = new OutageCommitCase(recorder, trouble).run(folder);
        }
        System.exit(status == 1 ? Recorder.BROKEN_STATUS : status);
    }

    private int run(Path folder) throws Exception {
        try (Deployment deployment = new Deployment(recorder)) {
            deployment.configure(Sample.configuration(1));
            for (int i = 0; i < MODEL_RUNNERS; i++) {
                deployment.addRunner("m-" + i, Sample.MODEL, SLOTS, this::generate);
            }
            deployment.startStores(3);
            deployment.startGateways(3);
            if (!deployment.awaitReady(20)) {
                recorder.tell("the gateways do not become ready");
                return 2;
            }
            Thread.sleep(3000);
            int status = play(deployment);
            if (System.getenv("KEEP_LOGS") != null) {
                deployment.keepLogs(folder);
            }
            return status;
        }
    }

    private int play(Deployment deployment) throws InterruptedException {
        String id = Sample.newId();
        ObjectNode batch = Sample.batch(ITEMS, EVENTS);
        Map<String, String> headers = Map.of("X-Request-Id", id, "Content-Type", "application/json");
        Caller.Answer accepted =
                deployment.gateways.get(0).call("POST", "/batch/" + id, headers, Json.bytes(batch), 4000);
        recorder.tell("batch %s with %d items: %d in %d ms", id, ITEMS, accepted.status(), accepted.millis());
        if (accepted.status() != 202) {
            return 2;
        }
        Thread.sleep(1000);
        if (trouble) {
            recorder.tell("the store is down (503)");
            deployment.store.setFaults(StoreFaults.refusing(StoreFaults.Refusal.UNAVAILABLE));
        }
        Thread.sleep(OUTAGE_MILLIS);
        if (trouble) {
            deployment.store.setFaults(StoreFaults.NONE);
            recorder.tell("the store is back; runners have finished %d items", finishedAtMillis.size());
        }
        awaitLastRun();
        recorder.tell("runners have finished %d items; %d ms more to finish", finishedAtMillis.size(), FINISH_MILLIS);
        Thread.sleep(FINISH_MILLIS);
        return judge(deployment, id, batch);
    }

    private void awaitLastRun() throws InterruptedException {
        long endMillis = recorder.nowMillis() + 20_000;
        while (finishedAtMillis.size() < ITEMS && recorder.nowMillis() < endMillis) {
            Thread.sleep(100);
        }
    }

    private int judge(Deployment deployment, String id, ObjectNode batch) throws InterruptedException {
        long judgedMillis = recorder.nowMillis();
        Set<String> listed = new HashSet<>();
        int after = 0;
        for (int tries = 0; tries < 40 && listed.size() < ITEMS; tries++) {
            Caller.Answer page = deployment.gateways
                    .get(tries % deployment.gateways.size())
                    .call("GET", "/gooseberryhill/lots/" + id + "?after=" + after, Map.of(), new byte[0], 3000);
            recorder.write("read after %d: %d, %d bytes", after, page.status(), page.body().length);
            if (page.status() != 200) {
                Thread.sleep(500);
                continue;
            }
            JsonNode answer = Json.tree(page.body()).get();
            answer.path("results").forEach(result -> listed.add(result.path("id").asText()));
            if (answer.path("next").asInt() == after) {
                Thread.sleep(200);
            }
            after = answer.path("next").asInt();
        }
        long lastFinished = finishedAtMillis.values().stream().mapToLong(Long::longValue).max().orElse(0);
        boolean excused = !running.isEmpty()
                || judgedMillis - lastRunAtMillis.get() < CALM_MILLIS
                || judgedMillis - lastFinished < NOTHING_FINISHED_MILLIS;
        recorder.tell(
                "%d items are listed of %d; runners have finished %d, the last %d ms before; the store has refused %d"
                        + " values as too large",
                listed.size(),
                ITEMS,
                finishedAtMillis.size(),
                judgedMillis - lastFinished,
                deployment.refusedValues);
        if (finishedAtMillis.size() < ITEMS) {
            return 2;
        }
        boolean broken = listed.size() < ITEMS && !excused;
        recorder.tell(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    /** Generates the output of an item: events of Arabic text of the sheet's length, in about one and a half seconds. */
    private boolean generate(Runner runner, Runner.Request request, OutputStream out)
            throws IOException, InterruptedException {
        running.merge(request.id(), 1, Integer::sum);
        lastRunAtMillis.set(recorder.nowMillis());
        try {
            runner.beginStream(request, out);
            long pauseMillis = ThreadLocalRandom.current().nextLong(30, 55);
            for (long number = request.lastEventId() + 1; number <= EVENTS; number++) {
                Thread.sleep(pauseMillis);
                Runner.event(out, number, text(number));
            }
            Runner.endStream(out);
            finishedAtMillis.putIfAbsent(request.id(), recorder.nowMillis());
            return true;
        } finally {
            lastRunAtMillis.set(recorder.nowMillis());
            running.remove(request.id());
        }
    }

    private static String text(long number) {
        String sentence = "تقرير التشغيل للغرفة الباردة رقم " + number + " يؤكد أن الضغط سليم";
        StringBuilder text = new StringBuilder();
        int bytes = 0;
        for (int i = 0; bytes < EVENT_BYTES - 1; i++) {
            char next = sentence.charAt(i % sentence.length());
            text.append(next);
            bytes += String.valueOf(next).getBytes(StandardCharsets.UTF_8).length;
        }
        return text.toString();
    }
}
