package org.gooseberryhill.decision.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.decision.FakeKeyValue;
import org.gooseberryhill.decision.FakeKeyValue.Condition;
import org.gooseberryhill.host.HostId;

/**
 * A minimal model of a job, two hosts that may own it, and a key-value store with faults. A lease may expire while its
 * holder is paused; the holder then continues until one of its writes is refused.
 */
final class JobModel {
    static final String RECORD = "record";
    static final String OWNER = "owner";
    static final JobKey KEY = new JobKey("caller", "job");

    private static final int ITEMS = 10;
    private static final int CHUNK_ITEMS = 4;

    final FakeKeyValue<Object> store;
    final List<ModelHost> hosts = List.of(new ModelHost("a"), new ModelHost("b"));
    boolean cancelled;
    private final Random random;
    private final JobRecord record =
            new JobRecord(JobState.RUNNING, "hash", "s", "m", 1000, 0, ITEMS, CHUNK_ITEMS, List.of("c0", "c1", "c2"));
    private long nowNanos;

    JobModel(Random random, int faultPercent) {
        this.random = random;
        this.store = new FakeKeyValue<>(random, faultPercent);
        while (store.peek(RECORD).isEmpty()) {
            store.write(List.of(Condition.absent(RECORD)), Map.of(RECORD, record));
        }
    }

    void step(boolean faults) {
        nowNanos += 500_000_000L;
        ModelHost host = hosts.get(random.nextInt(hosts.size()));
        switch (random.nextInt(faults ? 9 : 7)) {
            case 0 -> host.claim();
            case 1, 2 -> host.handOutItem();
            case 3, 4 -> host.report();
            case 5, 6 -> host.commit();
            case 7 -> store.delete(OWNER);
            default -> store.applyDelayedWrite();
        }
        checkChunks();
    }

    /** Cancels the job for its caller and returns only after the record says so. */
    void cancel() {
        FakeKeyValue.Stored<Object> stored = store.peek(RECORD).orElseThrow();
        JobRecord found = (JobRecord) stored.value();
        if (found.state() == JobState.RUNNING) {
            while (((JobRecord) store.peek(RECORD).orElseThrow().value()).state() == JobState.RUNNING) {
                store.write(
                        List.of(Condition.modifiedAt(RECORD, stored.modRevision())),
                        Map.of(RECORD, found.withState(JobState.CANCELLED)));
            }
            cancelled = true;
        }
    }

    int committedItems() {
        int items = 0;
        for (int chunk = 0; chunk < record.chunks().size(); chunk++) {
            Optional<FakeKeyValue.Stored<Object>> stored = store.peek("chunk" + chunk);
            items += stored.map(found -> ((ChunkRecord) found.value()).items()).orElse(0);
        }
        return items;
    }

    private void checkChunks() {
        for (int chunk = 0; chunk < record.chunks().size(); chunk++) {
            Optional<FakeKeyValue.Stored<Object>> stored = store.peek("chunk" + chunk);
            if (stored.isPresent()) {
                int expectedItems = record.itemsInChunk(chunk);
                assertThat(((ChunkRecord) stored.get().value()).items()).isEqualTo(expectedItems);
                assertThat(stored.get().createRevision())
                        .as("chunk %d is written once", chunk)
                        .isEqualTo(stored.get().modRevision());
            }
        }
    }

    /** One host, with its own view of whether it owns the job. */
    final class ModelHost {
        private final HostId id;
        private final List<WorkItem> runningItems = new ArrayList<>();
        private final Map<Integer, ChunkResult> pendingCommits = new HashMap<>();
        private Optional<OwnedJob> owned = Optional.empty();

        ModelHost(String name) {
            id = new HostId(name);
        }

        void claim() {
            if (owned.isPresent()) {
                return;
            }
            Optional<Boolean> answer = store.write(List.of(Condition.absent(OWNER)), Map.of(OWNER, id.value()));
            if (answer.isEmpty() || !answer.get()) {
                return;
            }
            FakeKeyValue.Stored<Object> stored = store.peek(RECORD).orElseThrow();
            if (((JobRecord) stored.value()).state() != JobState.RUNNING) {
                return;
            }
            BitSet committed = new BitSet();
            for (int chunk = 0; chunk < record.chunks().size(); chunk++) {
                committed.set(chunk, store.peek("chunk" + chunk).isPresent());
            }
            long fence = store.peek(OWNER).orElseThrow().createRevision();
            OwnedJob job = new OwnedJob(KEY, record, stored.modRevision(), fence, committed);
            runningItems.clear();
            pendingCommits.clear();
            owned = Optional.of(job);
        }

        void handOutItem() {
            owned.ifPresent(job -> {
                job.nextChunkToLoad().ifPresent(chunk -> {
                    List<String> bodies = new ArrayList<>();
                    for (int i = 0; i < record.itemsInChunk(chunk); i++) {
                        bodies.add("{}");
                    }
                    job.chunkLoaded(chunk, bodies);
                });
                job.handOutNext(id, nowNanos).ifPresent(runningItems::add);
            });
        }

        void report() {
            if (runningItems.isEmpty() || owned.isEmpty()) {
                return;
            }
            WorkItem item = runningItems.get(random.nextInt(runningItems.size()));
            // One in five reports stays to be sent again, and an item may be reported after it was handed out again.
            if (random.nextInt(5) > 0) {
                runningItems.remove(item);
            }
            if (random.nextInt(10) == 0) {
                owned.get().reclaimFromSteward(id);
            }
            ItemEnd[] ends = ItemEnd.values();
            ItemEnd end = random.nextInt(3) > 0 ? ItemEnd.COMPLETED : ends[random.nextInt(ends.length)];
            ItemOutcome outcome = new ItemOutcome(item.index(), item.fence(), item.handout(), end, "text", 1);
            owned.get().report(outcome, nowNanos).ifPresent(result -> {
                assertThat(pendingCommits.put(result.chunk(), result)).isNull();
            });
        }

        void commit() {
            if (pendingCommits.isEmpty() || owned.isEmpty()) {
                return;
            }
            ChunkResult result = pendingCommits.values().iterator().next();
            OwnedJob job = owned.get();
            ChunkCommit commit = new ChunkCommit();
            ChunkCommit.Step step = commit.begin();
            String key = "chunk" + result.chunk();
            for (int tries = 0; tries < 20 && step != ChunkCommit.Step.COMMITTED; tries++) {
                if (step == ChunkCommit.Step.REFUSED) {
                    job.stop();
                    owned = Optional.empty();
                    return;
                }
                step = advance(job, result, commit, step, key);
            }
            if (step == ChunkCommit.Step.COMMITTED) {
                pendingCommits.remove(result.chunk());
                job.chunkCommitted(result.chunk());
            }
        }

        private ChunkCommit.Step advance(
                OwnedJob job, ChunkResult result, ChunkCommit commit, ChunkCommit.Step step, String key) {
            if (step == ChunkCommit.Step.READ) {
                return store.read(key)
                        .map(found -> commit.read(found.map(stored -> (ChunkRecord) stored.value())))
                        .orElseGet(commit::onNoAnswer);
            }
            ChunkRecord chunk = new ChunkRecord("segment-" + id, result.lines().size(), result.failed(), job.fence());
            List<Condition> conditions = List.of(
                    Condition.createdAt(OWNER, job.fence()),
                    Condition.modifiedAt(RECORD, job.recordRevision()),
                    Condition.absent(key));
            return store.write(conditions, Map.of(key, chunk))
                    .map(commit::written)
                    .orElseGet(commit::onNoAnswer);
        }
    }
}
