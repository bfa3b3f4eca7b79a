package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.link.Json;

/**
 * Runners crash, one after the other, while they run the same sound item of a batch job. Judges the rule that each item of an open
 * batch job is listed when the time to finish is over.
 */
final class UnluckyItemCase {
    private static final int ITEMS = 10;
    private static final int MODEL_RUNNERS = 6;
    private static final int SLOTS = 8;
    private static final int CRASHES = 7;
    private static final int DOWN_MILLIS = 400;

    /** The time to read the prompt beside other requests, before the first event. */
    private static final int PREFILL_MILLIS = 400;

    private static final int CRASH_AFTER_MILLIS = 200;

    /** Longer than {@code finish_s}, and than the 20 s in which an item that failed does not count. */
    private static final int CALM_MILLIS = 24_000;

    private static final int FAILED_EXCUSES_MILLIS = 20_000;
    private static final int LAST_CRASH_TIMEOUT_MILLIS = 60_000;

    private final Recorder recorder;
    private final boolean trouble;
    private final AtomicInteger crashes = new AtomicInteger();
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private volatile String unlucky = "";
    private volatile long lastFailedMillis;
    private volatile long lastFinishedMillis;
    private volatile long lastRunMillis;
    private volatile Deployment deployment;

    private UnluckyItemCase(Recorder recorder, boolean trouble) {
        this.recorder = recorder;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
            status = new UnluckyItemCase(recorder, trouble).run(folder);
        }
        System.exit(status == 1 ? Recorder.BROKEN_STATUS : status);
    }

    private int run(Path folder) throws Exception {
        try (Deployment started = new Deployment(recorder)) {
            deployment = started;
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
            String id = Sample.newId();
            ObjectNode batch = Sample.batch(ITEMS, 25);
            unlucky = batch.path("items").path(0).path("id").asText();
            Map<String, String> headers = Map.of("X-Request-Id", id, "Content-Type", "application/json");
            Caller.Answer accepted =
                    deployment.gateways.get(0).call("POST", "/batch/" + id, headers, Json.bytes(batch), 4000);
            recorder.tell("batch %s, %d in %d ms; item %s", id, accepted.status(), accepted.millis(), unlucky);
            long endMillis = recorder.nowMillis() + LAST_CRASH_TIMEOUT_MILLIS;
            while (trouble && crashes.get() < CRASHES && recorder.nowMillis() < endMillis) {
                Thread.sleep(50);
            }
            if (accepted.status() != 202 || (trouble && crashes.get() < CRASHES)) {
                return 2;
            }
            recorder.tell("%d runners have crashed; %d ms of calm follow", crashes.get(), CALM_MILLIS);
            Thread.sleep(CALM_MILLIS);
            int status = judge(id);
            if (System.getenv("KEEP_LOGS") != null) {
                deployment.keepLogs(folder);
            }
            return status;
        }
    }

    private int judge(String id) {
        long nowMillis = recorder.nowMillis();
        Set<String> listed = new HashSet<>();
        for (Deployment.Node node : deployment.gateways) {
            Caller.Answer page =
                    node.call("GET", "/gooseberryhill/lots/" + id + "?after=0", Map.of(), new byte[0], 3000);
            Json.tree(page.body())
                    .forEach(answer -> answer.path("results")
                            .forEach(result -> listed.add(result.path("id").asText())));
        }
        boolean excused = !running.isEmpty()
                || nowMillis - lastRunMillis < 5000
                || nowMillis - lastFinishedMillis < 3000
                || nowMillis - lastFailedMillis < FAILED_EXCUSES_MILLIS;
        recorder.tell(
                "%d of %d items are listed; the last run ended %d ms before, the last failure was %d ms before",
                listed.size(), ITEMS, nowMillis - lastRunMillis, nowMillis - lastFailedMillis);
        boolean broken = listed.size() < ITEMS && !excused;
        recorder.tell(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    private boolean generate(Runner runner, Runner.Request request, OutputStream out)
            throws IOException, InterruptedException {
        running.add(request.id());
        try {
            runner.beginStream(request, out);
            if (trouble && request.id().equals(unlucky) && crashes.get() < CRASHES) {
                Thread.sleep(CRASH_AFTER_MILLIS);
                crashes.incrementAndGet();
                lastFailedMillis = recorder.nowMillis();
                runner.crash(DOWN_MILLIS);
                deployment.report(runner);
                return false;
            }
            Thread.sleep(PREFILL_MILLIS);
            for (long number = request.lastEventId() + 1; number <= 25; number++) {
                Thread.sleep(20);
                Runner.event(out, number, "word " + number);
            }
            Runner.endStream(out);
            lastFinishedMillis = recorder.nowMillis();
            return true;
        } finally {
            running.remove(request.id());
            lastRunMillis = recorder.nowMillis();
        }
    }
}
