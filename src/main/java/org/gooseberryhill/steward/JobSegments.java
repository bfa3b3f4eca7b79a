package org.gooseberryhill.steward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gooseberryhill.decision.job.ChunkCommit;
import org.gooseberryhill.decision.job.ChunkRecord;
import org.gooseberryhill.decision.job.ChunkResult;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.OwnedJob;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.store.SegmentNames;
import org.gooseberryhill.timeline.EventKind;

/** Loads the items of owned jobs and commits their results, chunk by chunk. Confined to the control thread. */
final class JobSegments {
    private static final long RETRY_MILLIS = 500;

    private final HostProcess process;
    private final Consumer<OwnedJob> onCommitRefused;
    private final Consumer<OwnedJob> onAdvanced;
    private int commitsInProgress;

    JobSegments(HostProcess process, Consumer<OwnedJob> onCommitRefused, Consumer<OwnedJob> onAdvanced) {
        this.process = process;
        this.onCommitRefused = onCommitRefused;
        this.onAdvanced = onAdvanced;
    }

    /** Returns the number of chunks being committed. */
    int commitsInProgress() {
        return commitsInProgress;
    }

    /** Loads chunks until the job's window is full. */
    void loadChunks(OwnedJob job) {
        Optional<Integer> chunk = job.nextChunkToLoad();
        while (chunk.isPresent()) {
            load(job, chunk.get());
            chunk = job.nextChunkToLoad();
        }
    }

    /** Stores a chunk's results in two zones, then commits them; retries while the platform is unavailable. */
    void commit(OwnedJob job, ChunkResult result) {
        commitsInProgress++;
        byte[] content = (String.join("\n", result.lines()) + "\n").getBytes(StandardCharsets.UTF_8);
        String name = SegmentNames.resultsName(job.key(), result.chunk(), job.fence(), content);
        ChunkRecord record = new ChunkRecord(name, result.lines().size(), result.failed(), job.fence());
        store(job, new PendingCommit(result.chunk(), record, content));
    }

    /** Marks a job as done once all its chunks are committed. */
    void finish(OwnedJob job) {
        Transaction write = Transaction.builder()
                .ifCreatedAt(Keys.jobClaim(job.key()), job.fence())
                .ifRevisionIs(Keys.job(job.key()), job.recordRevision())
                .put(Keys.job(job.key()), Json.bytes(job.record().withState(JobState.DONE)))
                .delete(Keys.openJob(job.key()))
                .delete(Keys.jobClaim(job.key()))
                .build();
        process.keyValue()
                .write(write)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    // If the write gets no answer, the job may still be open with all chunks committed. The scan of
                    // open jobs then finds it, and the owner of the job claims and finishes it.
                    if (failure == null && result.succeeded()) {
                        process.timeline()
                                .event(EventKind.JOB_DONE)
                                .job(job.key().path())
                                .write();
                    }
                }));
    }

    private void load(OwnedJob job, int chunk) {
        process.segments()
                .get(job.record().chunks().get(chunk))
                .whenComplete((content, failure) -> process.loop().execute(() -> {
                    if (failure != null || content.isEmpty()) {
                        process.loop().after(RETRY_MILLIS, () -> {
                            job.chunkNotLoaded(chunk);
                            loadChunks(job);
                        });
                        return;
                    }
                    String text = new String(content.get(), StandardCharsets.UTF_8);
                    job.chunkLoaded(chunk, List.of(text.split("\n")));
                    onAdvanced.accept(job);
                }));
    }

    private void store(OwnedJob job, PendingCommit commit) {
        process.segments()
                .put(commit.record.segment(), commit.content)
                .whenComplete((done, failure) -> process.loop().execute(() -> {
                    if (job.isStopped()) {
                        commitsInProgress--;
                    } else if (failure != null) {
                        process.loop().after(RETRY_MILLIS, () -> store(job, commit));
                    } else {
                        ChunkCommit decision = new ChunkCommit();
                        perform(job, commit, decision, decision.begin());
                    }
                }));
    }

    private void perform(OwnedJob job, PendingCommit commit, ChunkCommit decision, ChunkCommit.Step step) {
        if (job.isStopped()) {
            commitsInProgress--;
            return;
        }
        switch (step) {
            case WRITE ->
                process.keyValue()
                        .write(commitTransaction(job, commit))
                        .whenComplete((result, failure) -> performNext(
                                job, commit, decision, failure, () -> decision.written(result.succeeded())));
            case READ ->
                process.keyValue()
                        .read(Keys.chunk(job.key(), commit.chunk))
                        .whenComplete((result, failure) ->
                                performNext(job, commit, decision, failure, () -> decision.read(parseRecord(result))));
            case COMMITTED -> {
                commitsInProgress--;
                job.chunkCommitted(commit.chunk);
                process.timeline()
                        .event(EventKind.CHUNK_COMMITTED)
                        .job(job.key().path())
                        .with("chunk", commit.chunk)
                        .write();
                onAdvanced.accept(job);
            }
            default -> {
                commitsInProgress--;
                onCommitRefused.accept(job);
            }
        }
    }

    private void performNext(
            OwnedJob job,
            PendingCommit commit,
            ChunkCommit decision,
            Throwable failure,
            Supplier<ChunkCommit.Step> onResult) {
        process.loop().execute(() -> {
            if (failure == null) {
                perform(job, commit, decision, onResult.get());
                return;
            }
            ChunkCommit.Step next = decision.onNoAnswer();
            process.loop().after(RETRY_MILLIS, () -> perform(job, commit, decision, next));
        });
    }

    private static Transaction commitTransaction(OwnedJob job, PendingCommit commit) {
        String key = Keys.chunk(job.key(), commit.chunk);
        return Transaction.builder()
                .ifCreatedAt(Keys.jobClaim(job.key()), job.fence())
                .ifRevisionIs(Keys.job(job.key()), job.recordRevision())
                .ifAbsent(key)
                .put(key, Json.bytes(commit.record))
                .build();
    }

    private static Optional<ChunkRecord> parseRecord(KeyValueStore.ReadResult result) {
        return result.first()
                .flatMap(entry -> Json.read(entry.value(), ChunkRecord.class).toJavaOptional());
    }

    /** A chunk being committed, with its record and results. */
    private record PendingCommit(int chunk, ChunkRecord record, byte[] content) {}
}
