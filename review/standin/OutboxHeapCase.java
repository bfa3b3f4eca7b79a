package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.link.Json;

/**
 * Large batch jobs are accepted while the store is down, and the gateways are killed before it is back. Judges the rule that an
 * accepted batch job can be read.
 */
final class OutboxHeapCase {
    private static final int GATEWAYS = 4;

    /** Half of the gateways; "herd_kill" has a share of 0.55. */
    private static final int KILLED = 2;

    private static final int STORES = 3;
    private static final int JOBS = 12;
    private static final int ITEMS = 200;
    private static final int ITEM_BODY_BYTES = 7500;
    private static final int WARM_UP_JOBS = 16;
    private static final int WARM_UP_ITEMS = 10;
    private static final int WARM_UP_GAP_MILLIS = 400;
    private static final int JOB_GAP_MILLIS = 250;

    /** Two outages of the site file's length, one after the other. */
    private static final int OUTAGE_MILLIS = 2 * 4500;

    private static final int KILL_AFTER_MILLIS = 8500;

    /** {@code recover_s} and {@code stable_window_ms}, and as much again. */
    private static final int RECOVERY_MILLIS = 25_000;

    private final Recorder recorder;
    private final boolean trouble;
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();

    private OutboxHeapCase(Recorder recorder, boolean trouble) {
        this.recorder = recorder;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
            status = new OutboxHeapCase(recorder, trouble).run(folder);
        }
        System.exit(status == 1 ? Recorder.BROKEN_STATUS : status);
    }

    private int run(Path folder) throws Exception {
        try (Deployment deployment = new Deployment(recorder)) {
            deployment.configure(Sample.configuration(1));
            for (int i = 0; i < 9; i++) {
                deployment.addRunner("m-" + i, Sample.MODEL, 8, OutboxHeapCase::generate);
            }
            deployment.startStores(STORES);
            deployment.startGateways(GATEWAYS);
            if (!deployment.awaitReady(20)) {
                recorder.tell("the gateways do not become ready");
                return 2;
            }
            warmUp(deployment);
            play(deployment);
            int status = judge(deployment);
            if (System.getenv("KEEP_LOGS") != null) {
                deployment.keepLogs(folder);
            }
            return status;
        }
    }

    /** Submits some batch jobs of the same length, but with few items, as processes do that have run for a while. */
    private void warmUp(Deployment deployment) throws InterruptedException {
        for (int i = 0; i < WARM_UP_JOBS; i++) {
            submit(deployment.gateways.get(i % GATEWAYS), Json.bytes(batch(WARM_UP_ITEMS)));
            Thread.sleep(WARM_UP_GAP_MILLIS);
        }
        accepted.clear();
        Thread.sleep(WARM_UP_GAP_MILLIS * 5);
    }

    private void play(Deployment deployment) throws InterruptedException {
        List<byte[]> bodies = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            bodies.add(Json.bytes(batch(ITEMS)));
        }
        long startNanos = System.nanoTime();
        if (trouble) {
            deployment.setStoreSilent(true);
            recorder.tell("the store is down (silent)");
        }
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int i = 0; i < JOBS; i++) {
            Deployment.Node node = deployment.gateways.get(i % GATEWAYS);
            byte[] body = bodies.get(i);
            callers.execute(() -> submit(node, body));
            Thread.sleep(JOB_GAP_MILLIS);
        }
        sleepUntil(startNanos, KILL_AFTER_MILLIS);
        if (trouble) {
            recorder.tell("%d of %d gateways are killed", KILLED, GATEWAYS);
            deployment.gateways.subList(0, KILLED).forEach(Deployment.Node::kill);
        }
        sleepUntil(startNanos, OUTAGE_MILLIS);
        if (trouble) {
            deployment.setStoreSilent(false);
            recorder.tell("the store is back");
        }
        callers.shutdown();
        callers.awaitTermination(5, TimeUnit.SECONDS);
        recorder.tell("%d of %d batch jobs were accepted", accepted.size(), JOBS);
        Thread.sleep(RECOVERY_MILLIS);
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        long leftMillis = millis - (System.nanoTime() - startNanos) / 1_000_000;
        if (leftMillis > 0) {
            Thread.sleep(leftMillis);
        }
    }

    private static ObjectNode batch(int items) {
        ObjectNode batch = Sample.batch(items, 25);
        byte[] body = new byte[ITEM_BODY_BYTES * ITEMS / items];
        for (var item : (ArrayNode) batch.get("items")) {
            ThreadLocalRandom.current().nextBytes(body);
            ((ObjectNode) item).put("body", Base64.getEncoder().encodeToString(body));
        }
        return batch;
    }

    private void submit(Deployment.Node node, byte[] body) {
        String id = Sample.newId();
        Map<String, String> headers = Map.of("X-Request-Id", id, "Content-Type", "application/json");
        Caller.Answer answer = node.call("POST", "/batch/" + id, headers, body, 4000);
        recorder.tell("batch %s, %d bytes, at %s: %d in %d ms", id, body.length, node.name, answer.status(), answer.millis());
        if (answer.status() == 202) {
            accepted.add(id);
        }
    }

    private int judge(Deployment deployment) throws InterruptedException {
        int unreadable = 0;
        for (String id : accepted) {
            int found = 0;
            int missing = 0;
            for (int tries = 0; tries < 3 && found == 0; tries++) {
                for (Deployment.Node node : deployment.gateways) {
                    Caller.Answer answer = node.call(
                            "GET", "/gooseberryhill/lots/" + id + "?after=0", Map.of(), new byte[0], 3000);
                    recorder.write("read %s at %s: %d", id, node.name, answer.status());
                    found += answer.status() == 200 ? 1 : 0;
                    missing += answer.status() == 404 ? 1 : 0;
                }
            }
            if (found == 0 && missing > 0) {
                unreadable++;
                recorder.tell("accepted batch job %s: 404 at all gateways", id);
            }
        }
        recorder.tell("%d of %d accepted batch jobs can't be read", unreadable, accepted.size());
        if (accepted.isEmpty()) {
            return 2;
        }
        recorder.tell(unreadable > 0 ? "LOST is broken" : "LOST holds");
        return unreadable > 0 ? 1 : 0;
    }

    private static boolean generate(Runner runner, Runner.Request request, OutputStream out)
            throws IOException, InterruptedException {
        runner.beginStream(request, out);
        for (long number = request.lastEventId() + 1; number <= 25; number++) {
            Thread.sleep(20);
            Runner.event(out, number, "word " + number);
        }
        Runner.endStream(out);
        return true;
    }
}
