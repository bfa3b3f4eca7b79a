package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.requestbatch.BatchAcceptance;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Accepts submissions of request batches. Calls arrive on traffic threads and are processed on the control thread.
 *
 * <p>Invariant: a submission is confirmed only after its record and items are in the key-value store or on enough
 * disks; a refusal with outcome {@code NOT_RUN} is sent only if they are certainly stored nowhere and
 * never will be.
 */
final class BatchSubmissionHandler {
    private static final int ACCEPTED = 202;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    /**
     * How long the storing of a submission is attempted while its caller waits; outages of the store are either longer
     * or much shorter.
     */
    private static final long SUBMIT_TIMEOUT_MILLIS = 2500;

    /** Delay before a confirmed submission is written again that the key-value store refused as invalid. */
    private static final long REJECTED_RETRY_MILLIS = 5000;

    private final GatewayContext context;
    private final BatchRefusals refusals;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchStore store;
    private final RecordWriter writer;
    private final BatchCommitter committer;
    private final BatchRunner runner;
    private final BatchTakeover takeover;
    private final SubmissionCopies copies;

    BatchSubmissionHandler(
            GatewayContext context,
            BatchRefusals refusals,
            PeerLinks links,
            BatchRegistry registry,
            BatchStore store,
            BatchCommitter committer,
            BatchRunner runner,
            BatchTakeover takeover) {
        this.context = context;
        this.refusals = refusals;
        this.links = links;
        this.registry = registry;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.committer = committer;
        this.runner = runner;
        this.takeover = takeover;
        this.copies = new SubmissionCopies(context, links);
    }

    /** Accepts or refuses a submitted batch. Callable from any thread. */
    void submit(HttpCall call, String id, Route route, Caller caller, byte[] body, long arrivedNanos) {
        Either<List<String>, List<BatchItem>> items =
                context.dialects().batches().parseItems(body);
        if (items.isLeft()) {
            refusals.refuse(call, id, Refusal.notRun(ErrorCode.INVALID_REQUEST, String.join("; ", items.getLeft())));
            return;
        }
        String host = call.headers().get(HttpHeaderNames.HOST, "");
        BatchRecord record = new BatchRecord(
                host,
                call.target(),
                Fingerprint.of(host + call.target(), body).value(),
                context.settings().self().id().value(),
                context.processStart(),
                System.currentTimeMillis(),
                store.countBodyParts(body),
                items.get().size(),
                false,
                List.of(),
                0,
                caller.accountName());
        BatchAcceptance acceptance = new BatchAcceptance(context.settings().submissionCopies());
        Submission submission = new Submission(call, id, route, record, body, items.get(), arrivedNanos, acceptance);
        context.loop().execute(() -> create(submission));
    }

    private void create(Submission submission) {
        Optional<BatchRecord> known =
                registry.find(submission.id).map(OwnedBatch::record).or(() -> takeover.recordOfTakeover(submission.id));
        if (known.isPresent()) {
            confirmIfSame(submission, known.get());
            return;
        }
        if (!context.stop().acceptsRequest(SUBMIT_TIMEOUT_MILLIS, context.nowNanos())) {
            refusals.refuse(submission.call, submission.id, GatewayTraffic.STOPPING_REFUSAL);
            return;
        }
        RecordWriter.PendingWrite pending = writeRecord(submission);
        submission.call.setLastAnswer(() -> giveUp(submission, pending));
        long spentMillis = TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - submission.arrivedNanos);
        long copiesAfterMillis = BatchAcceptance.copiesAfterMillis(submission.route.targetLatencyMillis());
        context.loop().after(Math.max(0, copiesAfterMillis - spentMillis), () -> requestCopies(submission));
        context.loop().after(Math.max(0, SUBMIT_TIMEOUT_MILLIS - spentMillis), () -> giveUp(submission, pending));
    }

    private RecordWriter.PendingWrite writeRecord(Submission submission) {
        WriteId writeId = store.newWriteId();
        return writer.write(
                submission.id,
                writeId,
                () -> store.create(submission.id, submission.record, submission.body, writeId),
                new RecordWriter.WriteListener() {
                    @Override
                    public void onWritten(long revision) {
                        onRecorded(submission, revision);
                    }

                    @Override
                    public void onSuperseded(Optional<BatchStore.StoredRecord> found) {
                        onIdTaken(submission, found);
                    }

                    @Override
                    public void onRejected() {
                        onRecordRejected(submission);
                    }
                });
    }

    /** Refuses a submission that the key-value store never takes; one that was confirmed by copies is still owed. */
    private void onRecordRejected(Submission submission) {
        if (submission.acceptance.isAnswered()) {
            context.loop().after(REJECTED_RETRY_MILLIS, () -> writeRecord(submission));
            return;
        }
        Outcome outcome = submission.acceptance.giveUp(false);
        dropCopies(submission);
        refusals.unavailable(submission.call, submission.id, outcome == Outcome.MAY_HAVE_RUN);
    }

    private void onRecorded(Submission submission, long revision) {
        Optional<OwnedBatch> accepted = registry.find(submission.id);
        dropCopies(submission);
        if (accepted.isEmpty()) {
            takeOwnership(submission, submission.record, revision);
        } else if (!accepted.get().isRecorded()) {
            committer.onRecordCreated(accepted.get(), submission.record, revision);
        }
        if (submission.acceptance.recorded()) {
            confirm(submission);
        }
        runner.schedule();
    }

    /** Requests copies on the disks of other hosts, which make the batch durable until its record is written. */
    private void requestCopies(Submission submission) {
        if (submission.acceptance.requestCopies(copies.hostCount())) {
            copies.requestCopies(submission.id, submission.record, submission.body, () -> onCopyStored(submission));
        }
    }

    private void onCopyStored(Submission submission) {
        if (submission.acceptance.copyStored()) {
            takeOwnership(submission, submission.record, 0);
            confirm(submission);
            runner.schedule();
        }
    }

    private void dropCopies(Submission submission) {
        if (submission.acceptance.mayHaveCopies()) {
            copies.dropCopies(submission.id, submission.record);
        }
    }

    private void giveUp(Submission submission, RecordWriter.PendingWrite pending) {
        if (submission.acceptance.isAnswered()) {
            return;
        }
        Outcome outcome = submission.acceptance.giveUp(pending.abandon());
        dropCopies(submission);
        refusals.unavailable(submission.call, submission.id, outcome == Outcome.MAY_HAVE_RUN);
    }

    private void onIdTaken(Submission submission, Optional<BatchStore.StoredRecord> found) {
        dropCopies(submission);
        Optional<OwnedBatch> accepted = registry.find(submission.id).filter(batch -> !batch.isRecorded());
        if (accepted.isPresent()) {
            onRecordedByAnother(accepted.get(), found);
            return;
        }
        boolean answerDue = submission.acceptance.recorded();
        if (found.isEmpty()) {
            refusals.unavailable(submission.call, submission.id, true);
            return;
        }
        BatchRecord existing = found.get().record();
        if (!isSame(submission, existing)) {
            refuseOther(submission);
            return;
        }
        boolean hasNoResults = !existing.isFinished() && existing.listed() == 0;
        if (isOwnedByThisProcess(existing)
                && hasNoResults
                && registry.find(submission.id).isEmpty()) {
            // An earlier submission of the same body through this process was given up, but its creation took effect
            // later. A batch that has results already is found by the next scan of the records instead.
            takeOwnership(submission, existing, found.get().revision());
        }
        if (answerDue) {
            confirm(submission);
        }
    }

    /**
     * Handles a record that was created by a host with a copy, for this process or for another one that accepted the
     * same batch.
     */
    private void onRecordedByAnother(OwnedBatch accepted, Optional<BatchStore.StoredRecord> found) {
        Optional<BatchStore.StoredRecord> ownRecord = found.filter(stored -> isOwnedByThisProcess(stored.record()));
        boolean bound = ownRecord
                .filter(stored -> committer.onRecordCreated(accepted, stored.record(), stored.revision()))
                .isPresent();
        if (bound) {
            return;
        }
        committer.onRecordedElsewhere(accepted, found);
        ownRecord.ifPresent(takeover::loadIfOwned);
    }

    private boolean isOwnedByThisProcess(BatchRecord record) {
        return record.owner().equals(context.settings().self().id().value())
                && record.ownerStart().equals(context.processStart());
    }

    /** Adds a copy of the batch with the submitted items, unless this host is reading the batch from the key-value store. */
    private void takeOwnership(Submission submission, BatchRecord record, long revision) {
        if (takeover.recordOfTakeover(submission.id).isPresent()) {
            return;
        }
        if (!registry.add(new OwnedBatch(submission.id, record, revision, submission.items, List.of()))) {
            return;
        }
        links.broadcast(new GatewayMessage.BatchNotice(submission.id));
        context.timeline()
                .event(EventKind.BATCH_ACCEPTED)
                .job(submission.id)
                .with("items", submission.items.size())
                .with("recorded", revision > 0)
                .with("millis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - submission.arrivedNanos))
                .write();
    }

    /** Confirms a batch that comes again, after any of its submissions, unless another batch has its id. */
    private void confirmIfSame(Submission submission, BatchRecord existing) {
        if (isSame(submission, existing)) {
            confirm(submission);
        } else {
            refuseOther(submission);
        }
    }

    /** Returns whether a record is that of the submitted batch; an earlier version may have written it without an account. */
    private static boolean isSame(Submission submission, BatchRecord existing) {
        boolean sameAccount = existing.account().isEmpty() || existing.account().equals(submission.record.account());
        return sameAccount && existing.bodyHash().equals(submission.record.bodyHash());
    }

    private void refuseOther(Submission submission) {
        refusals.refuse(
                submission.call,
                submission.id,
                Refusal.notRun(ErrorCode.CONFLICT, "another batch was accepted under this id"));
    }

    private void confirm(Submission submission) {
        submission.call.reply(ACCEPTED, JSON_HEADERS, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** A submission in progress; its acceptance state changes on the control thread only. */
    private record Submission(
            HttpCall call,
            String id,
            Route route,
            BatchRecord record,
            byte[] body,
            List<BatchItem> items,
            long arrivedNanos,
            BatchAcceptance acceptance) {}
}
