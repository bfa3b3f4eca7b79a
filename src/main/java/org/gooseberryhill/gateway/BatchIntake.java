package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.timeline.EventKind;

/**
 * Takes request batches in. Entered from traffic threads, decides on the control thread.
 *
 * <p>Invariant: a submission is confirmed only after its record and items are in the key-value store; a refusal that
 * promises not-run is given only while they certainly are not, and never will be.
 */
final class BatchIntake {
    private static final int ACCEPTED = 202;
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    /** How long a submission is tried while its caller waits: the store's outages are longer or much shorter. */
    private static final long SUBMIT_MILLIS = 2500;

    private static final long SUBMIT_RETRY_MILLIS = 100;

    private final GatewayContext context;
    private final BatchReplies replies;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchStore store;
    private final BatchRunner runner;

    BatchIntake(
            GatewayContext context,
            BatchReplies replies,
            PeerLinks links,
            BatchBoard board,
            BatchStore store,
            BatchRunner runner) {
        this.context = context;
        this.replies = replies;
        this.links = links;
        this.board = board;
        this.store = store;
        this.runner = runner;
    }

    /** Takes a batch in; from any thread. */
    void submit(HttpCall call, String id, Route route, byte[] body, long arrivedNanos) {
        Either<List<String>, List<BatchItem>> items =
                context.dialects().batches().items(body);
        if (items.isLeft()) {
            replies.refuse(call, id, Refusal.notRun(ErrorCode.INVALID_REQUEST, String.join("; ", items.getLeft())));
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
                BatchStore.bodyParts(body),
                items.get().size(),
                false,
                List.of(),
                0);
        Submission submission = new Submission(call, id, route, record, body, items.get(), arrivedNanos);
        context.loop().execute(() -> create(submission, false));
    }

    private void create(Submission submission, boolean uncertain) {
        if (board.find(submission.id).isPresent()) {
            confirm(submission);
            return;
        }
        context.onLoop(store.create(submission.id, submission.record, submission.body), (result, failure) -> {
            if (failure != null) {
                createFailed(submission, uncertain, failure);
            } else if (result.succeeded()) {
                accepted(submission, result.revision());
            } else {
                readExisting(submission);
            }
        });
    }

    private void createFailed(Submission submission, boolean uncertain, Throwable failure) {
        boolean notDone = ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.NOT_DONE;
        boolean nowUncertain = uncertain || !notDone;
        long spentNanos = context.nowNanos() - submission.arrivedNanos;
        if (spentNanos < TimeUnit.MILLISECONDS.toNanos(SUBMIT_MILLIS)) {
            context.loop().after(SUBMIT_RETRY_MILLIS, () -> create(submission, nowUncertain));
            return;
        }
        replies.unavailable(submission.call, submission.id, nowUncertain);
    }

    private void readExisting(Submission submission) {
        context.onLoop(store.read(submission.id), (found, failure) -> {
            if (failure != null || found.isEmpty()) {
                replies.unavailable(submission.call, submission.id, true);
                return;
            }
            BatchStore.Stored existing = found.get();
            if (!existing.record().bodyHash().equals(submission.record.bodyHash())) {
                replies.refuse(
                        submission.call,
                        submission.id,
                        Refusal.notRun(ErrorCode.CONFLICT, "another batch was accepted under this id"));
                return;
            }
            boolean own = existing.record().owner().equals(submission.record.owner())
                    && existing.record().ownerStart().equals(submission.record.ownerStart());
            if (own) {
                accepted(submission, existing.revision());
            } else {
                confirm(submission);
            }
        });
    }

    private void accepted(Submission submission, long revision) {
        if (board.find(submission.id).isEmpty()) {
            OwnedBatch batch = new OwnedBatch(submission.id, submission.record, revision, submission.items, List.of());
            board.add(batch);
            links.tellAll(new GatewayMessage.BatchNotice(submission.id));
            context.timeline()
                    .event(EventKind.BATCH_ACCEPTED)
                    .job(submission.id)
                    .with("items", submission.items.size())
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - submission.arrivedNanos))
                    .write();
        }
        confirm(submission);
        runner.balance();
    }

    private void confirm(Submission submission) {
        submission.call.reply(ACCEPTED, JSON, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** A batch on its way in. */
    private record Submission(
            HttpCall call,
            String id,
            Route route,
            BatchRecord record,
            byte[] body,
            List<BatchItem> items,
            long arrivedNanos) {}
}
