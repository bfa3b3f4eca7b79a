package org.gooseberryhill.benchmark;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.job.EarliestDeadlineFairOrder;
import org.gooseberryhill.decision.job.ItemEnd;
import org.gooseberryhill.decision.job.ItemOutcome;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.OwnedJob;
import org.gooseberryhill.decision.job.OwnedJobs;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.host.HostId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the hand-out and yield of one item by an owner with different numbers of jobs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DispatchBenchmark {
    private static final int CHUNK_ITEMS = 256;
    private static final HostId STEWARD = new HostId("steward");

    @Param({"1", "20", "150"})
    private int jobs;

    private OwnedJobs ownedJobs;

    /** Creates jobs with three quarters of their items already handed out, as in a busy fleet. */
    @Setup
    public void setUp() {
        ownedJobs = new OwnedJobs(new EarliestDeadlineFairOrder());
        for (int i = 0; i < jobs; i++) {
            JobRecord record = new JobRecord(
                    JobState.RUNNING,
                    "h",
                    "s",
                    "m",
                    1_000_000L + i,
                    i,
                    4 * CHUNK_ITEMS,
                    CHUNK_ITEMS,
                    List.of("a", "b", "c", "d"));
            OwnedJob job = new OwnedJob(new JobKey("caller" + i % 10, "job" + i), record, 1, 1, new BitSet());
            List<String> bodies = new ArrayList<>();
            for (int item = 0; item < CHUNK_ITEMS; item++) {
                bodies.add("{}");
            }
            Optional<Integer> chunk = job.nextChunkToLoad();
            while (chunk.isPresent()) {
                job.chunkLoaded(chunk.get(), bodies);
                chunk = job.nextChunkToLoad();
            }
            for (int item = 0; item < 3 * CHUNK_ITEMS; item++) {
                job.handOutNext(STEWARD, 0);
            }
            ownedJobs.add(job);
        }
    }

    /** Hands out one item, which then yields and waits to be handed out again. */
    @Benchmark
    public WorkItem handOutAndYield() {
        WorkItem item = ownedJobs.handOut("s", 1, STEWARD, 0, 0).get(0);
        JobKey key = JobKey.parse(item.job()).orElseThrow();
        ownedJobs
                .find(key)
                .orElseThrow()
                .report(new ItemOutcome(item.index(), 1, item.handout(), ItemEnd.YIELDED, "", 0), 0);
        return item;
    }
}
