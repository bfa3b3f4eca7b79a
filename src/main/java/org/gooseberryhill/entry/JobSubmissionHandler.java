package org.gooseberryhill.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.job.JobRecord;
import org.gooseberryhill.decision.job.JobState;
import org.gooseberryhill.decision.job.JobSubmission;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.store.SegmentNames;
import org.gooseberryhill.timeline.EventKind;

/**
 * Handles the submission of a job while its body is received. The body methods run on the connection's traffic thread.
 *
 * <p>Invariant: the caller receives a success only once all items are on the disks of two zones and the job's record is
 * in the key-value store. If any item is invalid, no record is written and none of the items is accepted.
 */
final class JobSubmissionHandler implements RequestBodyHandler {
    /** Items per chunk, the unit of storing and committing (docs/CAPACITY.md). */
    static final int CHUNK_ITEMS = 256;

    private static final long RETRY_AFTER_MILLIS = 2000;

    private final EntryContext context;
    private final HttpCall call;
    private final JobRequest request;
    private final Runnable onEnded;
    private final JobLineSplitter splitter;
    private final MessageDigest digest;
    private final List<String> chunk = new ArrayList<>();
    private final List<String> segmentNames = new ArrayList<>();
    private CompletableFuture<Void> chunksStored = CompletableFuture.completedFuture(null);
    private boolean refusedOrAborted;

    JobSubmissionHandler(EntryContext context, HttpCall call, JobRequest request, Runnable onEnded) {
        this.context = context;
        this.call = call;
        this.request = request;
        this.onEnded = onEnded;
        EntrySettings settings = context.settings();
        this.splitter = new JobLineSplitter(settings.maxItems(), settings.maxItemBytes());
        this.digest = newDigest(request);
    }

    @Override
    public void onBytes(byte[] bytes) {
        addItems(splitter.read(bytes));
    }

    @Override
    public void onEnd() {
        addItems(splitter.end());
        if (!splitter.findings().isEmpty()) {
            refuseFindings();
            return;
        }
        if (splitter.itemCount() == 0) {
            refuse(Refusal.notRun(ErrorCode.INVALID_REQUEST, "the job has no items"));
            return;
        }
        storeChunk();
        chunksStored.whenComplete((done, failure) -> {
            if (failure == null) {
                createRecord();
            } else {
                refuse(Refusal.notRun(
                        ErrorCode.PLATFORM_UNAVAILABLE, "too few stores answer to keep the job", RETRY_AFTER_MILLIS));
            }
        });
    }

    @Override
    public void onAborted() {
        refusedOrAborted = true;
        onEnded.run();
    }

    private void addItems(List<String> items) {
        for (String item : items) {
            digest.update(item.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) '\n');
            chunk.add(item);
            if (chunk.size() == CHUNK_ITEMS) {
                storeChunk();
            }
        }
    }

    private void storeChunk() {
        if (chunk.isEmpty()) {
            return;
        }
        byte[] content = String.join("\n", chunk).getBytes(StandardCharsets.UTF_8);
        chunk.clear();
        String name = SegmentNames.itemsName(request.key(), segmentNames.size(), content);
        segmentNames.add(name);
        // Reading pauses while a chunk is stored, so that a fast sender can't fill this host's memory.
        call.setBodyReading(false);
        chunksStored =
                chunksStored.thenCompose(done -> context.process().segments().put(name, content));
        chunksStored.whenComplete((done, failure) -> call.setBodyReading(true));
    }

    private void createRecord() {
        JobRecord record = new JobRecord(
                JobState.RUNNING,
                HexFormat.of().formatHex(digest.digest()),
                request.service(),
                request.model(),
                request.dueMillis(),
                System.currentTimeMillis(),
                splitter.itemCount(),
                CHUNK_ITEMS,
                List.copyOf(segmentNames));
        JobSubmission submission = new JobSubmission(record.bodyHash());
        perform(submission, submission.begin(), record);
    }

    private void perform(JobSubmission submission, JobSubmission.Step step, JobRecord record) {
        KeyValueStore keyValue = context.process().keyValue();
        switch (step) {
            case CREATE ->
                keyValue.write(creationTransaction(record))
                        .whenComplete((result, failure) -> perform(
                                submission,
                                failure == null ? submission.created(result.succeeded()) : submission.onNoAnswer(),
                                record));
            case READ ->
                keyValue.read(Keys.job(request.key()))
                        .whenComplete((result, failure) -> perform(
                                submission,
                                failure == null ? submission.read(parseRecord(result)) : submission.onNoAnswer(),
                                record));
            case ACCEPTED, SAME_JOB -> replyAccepted(step == JobSubmission.Step.ACCEPTED, record);
            default -> refuse(JobSubmission.refusal(step).orElseThrow());
        }
    }

    private Transaction creationTransaction(JobRecord record) {
        return Transaction.builder()
                .ifAbsent(Keys.job(request.key()))
                .put(Keys.job(request.key()), Json.bytes(record))
                .put(Keys.openJob(request.key()), new byte[0])
                .build();
    }

    private static Optional<JobRecord> parseRecord(KeyValueStore.ReadResult result) {
        return result.first()
                .flatMap(entry -> Json.read(entry.value(), JobRecord.class).toJavaOptional());
    }

    private void replyAccepted(boolean created, JobRecord record) {
        ObjectNode response = Json.object()
                .put("id", request.key().id())
                .put("items", record.items())
                .put("due", Instant.ofEpochMilli(record.dueMillis()).toString())
                .put("accepted", true)
                .put("resent", !created);
        call.reply(created ? 201 : 200, Map.of("content-type", "application/json"), Json.bytes(response));
        HostProcess process = context.process();
        process.loop().execute(() -> {
            process.timeline()
                    .event(EventKind.JOB_ACCEPTED)
                    .job(request.key().path())
                    .with("items", record.items())
                    .write();
            JobOwnerNotifier.notifyOwner(process, request.key(), false);
            onEnded.run();
        });
    }

    private void refuseFindings() {
        refuse(Refusal.notRun(
                ErrorCode.INVALID_REQUEST, "nothing was accepted; " + String.join("; ", splitter.findings())));
    }

    private void refuse(Refusal refusal) {
        if (refusedOrAborted) {
            return;
        }
        refusedOrAborted = true;
        ErrorResponse.reply(call, request.requestId(), refusal);
        context.process().loop().execute(onEnded);
    }

    private static MessageDigest newDigest(JobRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((request.model() + "\n").getBytes(StandardCharsets.UTF_8));
            return digest;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("digest algorithm SHA-256 is not available", e);
        }
    }
}
