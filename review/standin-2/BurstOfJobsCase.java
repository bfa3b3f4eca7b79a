package review2;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Batch jobs of 200 items come at six times their usual rate for three seconds; their clients read the results, twice a second each.
 */
final class BurstOfJobsCase implements Main.Case {
    private static final int GATEWAYS = 3;
    private static final double USUAL_JOBS_PER_SECOND = 0.72;
    private static final double BURST = 6;
    private static final double BURST_SECONDS = 3;
    private static final int ITEMS = 200;
    private static final int BODY_BYTES = 200;
    private static final int PIECES = 275;
    private static final int PIECE_BYTES = 410;
    private static final long DAY_SECONDS = 85;
    private static final long READ_PERIOD_MILLIS = 500;
    private static final int CALL_TIMEOUT_MILLIS = 4000;

    /** The rule: a tenth of the machines, two at least, three times in the day. */
    private static final int MACHINES = 2;

    private static final int ENDS = 3;

    private final Map<String, Integer> listed = new ConcurrentHashMap<>();

    @Override
    public boolean run(Deployment deployment, boolean trouble) throws Exception {
        Recorder record = deployment.record();
        deployment.configure(4_194_304);
        ModelRunner.start(deployment, 13, 8, PIECE_BYTES);
        deployment.start(GATEWAYS, 3);
        deployment.requireReady();
        double perSecond = USUAL_JOBS_PER_SECOND * (trouble ? BURST : 1);
        int jobs = (int) Math.round(perSecond * BURST_SECONDS);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DAY_SECONDS);
        Random random = new Random(64);
        for (int i = 0; i < jobs; i++) {
            Lots.Lot job = Lots.create(random, ITEMS, BODY_BYTES, 350, PIECES);
            int number = i;
            Thread client = new Thread(() -> follow(deployment, job, number, endNanos), "client-" + i);
            client.setDaemon(true);
            client.start();
            Deployment.sleep((long) (1000 / perSecond));
        }
        Deployment.sleep((endNanos - System.nanoTime()) / 1_000_000);
        int machines = 0;
        for (Child gateway : deployment.gateways) {
            print(
                    record,
                    gateway.name + " ended by itself " + gateway.ownEnds() + " times, at most "
                            + gateway.peakMegabytes() + " MB in use");
            machines += gateway.ownEnds() >= ENDS ? 1 : 0;
        }
        print(record, "accepted " + listed.size() + " of " + jobs + " jobs; results read of each: "
                + new HashMap<>(listed).values());
        if (listed.isEmpty()) {
            throw new IllegalStateException("no job was accepted");
        }
        return machines >= MACHINES;
    }

    private static void print(Recorder record, String line) {
        record.write(line);
        System.out.println(line);
    }

    private void follow(Deployment deployment, Lots.Lot job, int number, long endNanos) {
        Random own = new Random(number);
        Recorder record = deployment.record();
        while (System.nanoTime() < endNanos && !listed.containsKey(job.id())) {
            Child gateway = deployment.gateways.get(own.nextInt(GATEWAYS));
            Answer answer = Lots.submit(gateway.front, job, CALL_TIMEOUT_MILLIS);
            record.write("job " + job.id() + " of " + ITEMS + " items at " + gateway.name + ": " + answer.status() + " "
                    + answer.detail());
            if (answer.status() == 202) {
                listed.put(job.id(), 0);
            }
            Deployment.sleep(READ_PERIOD_MILLIS);
        }
        while (System.nanoTime() < endNanos && listed.get(job.id()) < ITEMS) {
            Child gateway = deployment.gateways.get(own.nextInt(GATEWAYS));
            int after = listed.get(job.id());
            Answer answer = Lots.read(gateway.front, job.id(), after, 0, CALL_TIMEOUT_MILLIS);
            record.write("read " + job.id() + " after " + after + " at " + gateway.name + ": " + answer.status() + " "
                    + answer.detail());
            if (answer.status() == 200) {
                listed.put(job.id(), Lots.page(answer).next());
            }
            Deployment.sleep(READ_PERIOD_MILLIS);
        }
    }
}
