package org.gooseberryhill.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.job.ChunkRecord;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.KeyValueStore.Entry;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.timeline.EventKind;

/** Handles the calls for status, list, results and cancellation of jobs. Thread-safe and stateless. */
final class JobOperations {
    private static final int MAX_CHUNKS = 10_000;
    private static final int MAX_JOBS = 1000;
    private static final int MAX_CANCEL_TRIES = 5;
    private static final long RETRY_AFTER_MILLIS = 2000;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final EntryContext context;

    JobOperations(EntryContext context) {
        this.context = context;
    }

    /** Replies with a job's state and progress. */
    void replyStatus(HttpCall call, String requestId, JobKey key) {
        withJob(
                call,
                requestId,
                key,
                (entry, record) -> readChunks(key, 0).whenComplete((chunks, failure) -> {
                    if (failure != null) {
                        replyUnavailable(call, requestId, Outcome.NOT_RUN);
                    } else {
                        call.reply(200, JSON_HEADERS, Json.bytes(statusJson(key, record, chunks)));
                    }
                }));
    }

    /** Streams the results in item order, from the item at the offset up to the first chunk that is not committed. */
    void streamResults(HttpCall call, String requestId, JobKey key, int offset) {
        withJob(call, requestId, key, (entry, record) -> {
            int firstChunk = offset / record.chunkItems();
            readChunks(key, firstChunk).whenComplete((chunks, failure) -> {
                if (failure != null) {
                    replyUnavailable(call, requestId, Outcome.NOT_RUN);
                    return;
                }
                new ResultStream(context, call, record, contiguous(chunks, firstChunk), offset).begin(requestId);
            });
        });
    }

    /** Cancels a job; no result appears after the reply. */
    void cancel(HttpCall call, String requestId, JobKey key) {
        cancel(call, requestId, key, MAX_CANCEL_TRIES);
    }

    /** Replies with the ids of a caller's open jobs. */
    void listOpen(HttpCall call, String requestId, String caller) {
        String prefix = Keys.OPEN_JOBS + caller + "/";
        context.process().keyValue().readPrefix(prefix, prefix, MAX_JOBS).whenComplete((result, failure) -> {
            if (failure != null) {
                replyUnavailable(call, requestId, Outcome.NOT_RUN);
                return;
            }
            List<String> ids = result.entries().stream()
                    .map(entry -> entry.key().substring(prefix.length()))
                    .toList();
            call.reply(200, JSON_HEADERS, Json.bytes(Map.of("open", ids)));
        });
    }

    private void cancel(HttpCall call, String requestId, JobKey key, int triesLeft) {
        withJob(call, requestId, key, (entry, record) -> {
            if (record.state() != JobState.RUNNING) {
                call.reply(200, JSON_HEADERS, Json.bytes(stateJson(key, record)));
                return;
            }
            Transaction write = Transaction.builder()
                    .ifRevisionIs(entry.key(), entry.modRevision())
                    .put(entry.key(), Json.bytes(record.withState(JobState.CANCELLED)))
                    .delete(Keys.openJob(key))
                    .build();
            context.process().keyValue().write(write).whenComplete((result, failure) -> {
                if (failure == null && result.succeeded()) {
                    replyCancelled(call, key, record.withState(JobState.CANCELLED));
                } else if (triesLeft > 0) {
                    // The record was changed concurrently or the answer was lost; reading it again shows which.
                    cancel(call, requestId, key, triesLeft - 1);
                } else {
                    replyUnavailable(call, requestId, Outcome.MAY_HAVE_RUN);
                }
            });
        });
    }

    private void replyCancelled(HttpCall call, JobKey key, JobRecord record) {
        call.reply(200, JSON_HEADERS, Json.bytes(stateJson(key, record)));
        context.process().loop().execute(() -> {
            context.process()
                    .timeline()
                    .event(EventKind.JOB_CANCELLED)
                    .job(key.path())
                    .write();
            JobOwnerNotifier.notifyOwner(context.process(), key, true);
        });
    }

    private void withJob(HttpCall call, String requestId, JobKey key, JobAction action) {
        context.process().keyValue().read(Keys.job(key)).whenComplete((result, failure) -> {
            if (failure != null) {
                replyUnavailable(call, requestId, Outcome.NOT_RUN);
                return;
            }
            Optional<Entry> entry = result.first();
            Optional<JobRecord> record = entry.flatMap(
                    found -> Json.read(found.value(), JobRecord.class).toJavaOptional());
            if (record.isEmpty()) {
                ErrorResponse.reply(call, requestId, Refusal.notRun(ErrorCode.NOT_FOUND, "no such job"));
                return;
            }
            action.run(entry.orElseThrow(), record.get());
        });
    }

    private CompletableFuture<Map<Integer, ChunkRecord>> readChunks(JobKey key, int fromChunk) {
        String prefix = Keys.chunks(key);
        return context.process()
                .keyValue()
                .readPrefix(prefix, Keys.chunk(key, fromChunk), MAX_CHUNKS)
                .thenApply(result -> parseChunks(prefix, result));
    }

    private static Map<Integer, ChunkRecord> parseChunks(String prefix, KeyValueStore.ReadResult result) {
        Map<Integer, ChunkRecord> chunks = new TreeMap<>();
        for (Entry entry : result.entries()) {
            int number = Integer.parseInt(entry.key().substring(prefix.length()));
            Json.read(entry.value(), ChunkRecord.class).forEach(record -> chunks.put(number, record));
        }
        return chunks;
    }

    private static List<ChunkRecord> contiguous(Map<Integer, ChunkRecord> chunks, int firstChunk) {
        List<ChunkRecord> contiguousChunks = new ArrayList<>();
        for (int number = firstChunk; chunks.containsKey(number); number++) {
            contiguousChunks.add(chunks.get(number));
        }
        return contiguousChunks;
    }

    private static ObjectNode stateJson(JobKey key, JobRecord record) {
        return Json.object()
                .put("id", key.id())
                .put("state", record.state().name().toLowerCase(Locale.ROOT))
                .put("model", record.model())
                .put("due", Instant.ofEpochMilli(record.dueMillis()).toString())
                .put("items", record.items());
    }

    private static ObjectNode statusJson(JobKey key, JobRecord record, Map<Integer, ChunkRecord> chunks) {
        int completed = chunks.values().stream().mapToInt(ChunkRecord::items).sum();
        int failed = chunks.values().stream().mapToInt(ChunkRecord::failed).sum();
        return stateJson(key, record).put("completed", completed).put("failed", failed);
    }

    private static void replyUnavailable(HttpCall call, String requestId, Outcome outcome) {
        Refusal refusal = new Refusal(
                ErrorCode.PLATFORM_UNAVAILABLE,
                outcome,
                "the key-value service does not answer",
                Optional.of(RETRY_AFTER_MILLIS));
        ErrorResponse.reply(call, requestId, refusal);
    }

    /** An action on an existing job. */
    @FunctionalInterface
    private interface JobAction {
        void run(Entry entry, JobRecord record);
    }
}
