package review2;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three runners stops inside some of its answers and sends a second answer to an earlier request behind them. */
final class SpoiledAnswersCase implements Main.Case {
    private static final int ANSWER_BYTES = 800;
    private static final int REQUESTS_PER_SECOND = 19;
    private static final int SPOILED_EVERY = 33;
    private static final int ROUNDS = 10;
    private static final long SPOIL_MILLIS = 5000;
    private static final long PAUSE_MILLIS = 1000;
    private static final int DEADLINE_MILLIS = 1500;

    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    @Override
    public boolean run(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record();
        deployment.configure(4_194_304);
        PlainRunner faulty = new PlainRunner("i-00000000", record);
        faulty.register(deployment, "tas-a");
        new PlainRunner("i-00000001", record).register(deployment, "tas-b");
        new PlainRunner("i-00000002", record).register(deployment, "tas-c");
        deployment.start(3, 3);
        deployment.requireReady();
        Random random = new Random(64);
        ExecutorService clients = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "client");
            thread.setDaemon(true);
            return thread;
        });
        deployment.every(1000 / REQUESTS_PER_SECOND, () -> {
            String id = Lots.hex(random);
            Child gateway = deployment.gateways.get(random.nextInt(deployment.gateways.size()));
            clients.execute(() -> call(record, gateway, id));
        });
        for (int round = 0; round < ROUNDS; round++) {
            faulty.spoilEvery(trouble ? SPOILED_EVERY : Integer.MAX_VALUE);
            Deployment.sleep(SPOIL_MILLIS);
            faulty.spoilEvery(Integer.MAX_VALUE);
            Deployment.sleep(PAUSE_MILLIS);
        }
        clients.shutdown();
        clients.awaitTermination(3, TimeUnit.SECONDS);
        String result = "answers whole " + whole + ", wrong with status 200 " + wrong + ", failures " + failed
                + "; spoiled by the runner " + faulty.spoiled();
        record.write(result);
        System.out.println(result);
        if (whole.get() == 0) {
            throw new IllegalStateException("no request was served");
        }
        if (trouble && faulty.spoiled() == 0) {
            throw new IllegalStateException("no answer was spoiled");
        }
        return wrong.get() > 0;
    }

    private void call(Recorder record, Child gateway, String id) {
        Answer answer = Client.call(
                gateway.front,
                "GET",
                Deployment.SAFE_PREFIX + "2f/size/" + ANSWER_BYTES,
                Map.of(
                        "Host", Deployment.HOST,
                        "X-Request-Id", id,
                        "X-Deadline-Ms", Integer.toString(DEADLINE_MILLIS)),
                new byte[0],
                DEADLINE_MILLIS);
        if (answer.status() != 200) {
            failed.incrementAndGet();
            record.write("request " + id + " at " + gateway.name + ": " + answer.status() + " " + answer.detail());
            return;
        }
        int right = 0;
        while (right < answer.body().length && answer.body()[right] == PlainRunner.expected(id, right)) {
            right++;
        }
        boolean isWhole = right == ANSWER_BYTES && answer.body().length == ANSWER_BYTES;
        (isWhole ? whole : wrong).incrementAndGet();
        String rest = isWhole
                ? "whole"
                : "right are the first " + right + " of " + answer.body().length + " bytes; then: "
                        + answer.text().substring(right, Math.min(answer.body().length, right + 60)).replaceAll("\\s+", " ");
        record.write("request " + id + " at " + gateway.name + ": 200, stamp "
                + answer.headers().get("x-server-stamp") + ", " + rest);
    }
}
