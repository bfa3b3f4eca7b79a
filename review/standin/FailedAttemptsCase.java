package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.link.Json;

/**
 * The gateway that runs a batch job is killed some times while an item of it fails at each run. Judges the rule on how often such
 * an item may reach a runner.
 */
final class FailedAttemptsCase {
    private static final int GATEWAYS = 4;
    private static final int KILLS = 5;
    private static final int MAX_ATTEMPTS = 3;
    private static final int WORK_MILLIS = 2000;

    /** Two runs fail in this time, and the third has begun. */
    private static final int RUNS_BEFORE_KILL = 2;

    private static final int STABLE_WINDOW_MILLIS = 3000;

    private final Recorder recorder;
    private final boolean trouble;
    private final AtomicInteger failures = new AtomicInteger();
    private final AtomicInteger runsAfterBudget = new AtomicInteger();
    private volatile long lastDisruptionMillis;

    private FailedAttemptsCase(Recorder recorder, boolean trouble) {
        this.recorder = recorder;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
            status = new FailedAttemptsCase(recorder, trouble).run(folder);
        }
        System.exit(status == 1 ? Recorder.BROKEN_STATUS : status);
    }

    private int run(Path folder) throws Exception {
        try (Deployment deployment = new Deployment(recorder)) {
            deployment.configure(Sample.configuration(1));
            for (int i = 0; i < 4; i++) {
                deployment.addRunner("m-" + i, Sample.MODEL, 8, this::fail);
            }
            deployment.startStores(3);
            deployment.startGateways(GATEWAYS);
            if (!deployment.awaitReady(20)) {
                recorder.tell("the gateways do not become ready");
                return 2;
            }
            Thread.sleep(3000);
            if (!play(deployment)) {
                recorder.tell("the batch job was not accepted, or its owner was not found");
                return 2;
            }
            if (System.getenv("KEEP_LOGS") != null) {
                deployment.keepLogs(folder);
            }
            return judge();
        }
    }

    /** Returns whether the case could be played. */
    private boolean play(Deployment deployment) throws InterruptedException {
        String id = Sample.newId();
        ObjectNode batch = Sample.batch(1, 173);
        Map<String, String> headers = Map.of("X-Request-Id", id, "Content-Type", "application/json");
        Caller.Answer accepted = deployment.gateways.get(0).call("POST", "/batch/" + id, headers, Json.bytes(batch), 4000);
        recorder.tell("batch %s with one item: %d in %d ms", id, accepted.status(), accepted.millis());
        for (int kill = 0; kill < KILLS && trouble; kill++) {
            int target = failures.get() + RUNS_BEFORE_KILL;
            long endMillis = recorder.nowMillis() + 15_000;
            while (failures.get() < target && recorder.nowMillis() < endMillis) {
                Thread.sleep(20);
            }
            Optional<Deployment.Node> owner = owner(deployment, id);
            if (owner.isEmpty()) {
                return false;
            }
            owner.get().kill();
            recorder.tell("%s, which wrote the batch job's record last, is killed; %d answers of 500 so far", owner.get().name, failures.get());
            Thread.sleep(500);
            deployment.awaitReady(10);
            lastDisruptionMillis = recorder.nowMillis();
        }
        Thread.sleep(15_000);
        return accepted.status() == 202;
    }

    /** Returns the gateway that has written the record of the batch job last, as the store sees it. */
    private static Optional<Deployment.Node> owner(Deployment deployment, String batch) {
        return deployment.store.keys().stream()
                .filter(key -> key.endsWith("/" + batch))
                .flatMap(key -> deployment.store.value(key).stream())
                .map(value -> Json.tree(value).get().path("owner").asText())
                .flatMap(name -> deployment.gateways.stream().filter(node -> node.name.equals(name)))
                .findFirst();
    }

    private int judge() {
        recorder.tell(
                "%d answers of 500, %d runs from gateways in touch after %d of them",
                failures.get(), runsAfterBudget.get(), 3 * MAX_ATTEMPTS);
        boolean broken = runsAfterBudget.get() > 0;
        recorder.tell(broken ? "BUDGET is broken" : "BUDGET holds");
        return broken ? 1 : 0;
    }

    /** Works for some time and fails, as a runner does whose request can't be completed. */
    private boolean fail(Runner runner, Runner.Request request, OutputStream out) throws IOException, InterruptedException {
        boolean inTouch = recorder.nowMillis() - lastDisruptionMillis > STABLE_WINDOW_MILLIS;
        if (failures.get() >= 3 * MAX_ATTEMPTS && inTouch) {
            runsAfterBudget.incrementAndGet();
        }
        Thread.sleep(WORK_MILLIS);
        failures.incrementAndGet();
        recorder.write("%s answers %s with 500", runner.id, request.id());
        Runner.reply(out, 500, runner.runHeaders(request), new byte[0]);
        return true;
    }
}
