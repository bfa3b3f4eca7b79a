package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.dialect.SystemCall;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.route.Route;

/**
 * Serves the calls about request batches. Entered from traffic threads, decides on the control thread.
 *
 * <p>Invariant: a submission is confirmed only after its record and items are in the key-value store; a refusal that
 * promises not-run is given only while they certainly are not.
 */
final class BatchDesk {
    /** What one answer may hold: the interface allows a megabyte. */
    static final int MAX_PAGE_CHARACTERS = 700_000;

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    /** How long a submission is tried while its caller waits: the store's outages are longer or much shorter. */
    private static final long SUBMIT_MILLIS = 2500;

    private static final long SUBMIT_RETRY_MILLIS = 100;
    private static final long RETRY_AFTER_MILLIS = 1000;

    /** A reply of the owner may be kept waiting; this much more for the way. */
    private static final long ASK_MARGIN_MILLIS = 500;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchStore store;
    private final BatchCommitter committer;
    private final BatchRunner runner;
    private final StoredResults stored;

    BatchDesk(
            GatewayContext context,
            GatewayTraffic traffic,
            PeerLinks links,
            BatchBoard board,
            BatchStore store,
            BatchCommitter committer,
            BatchRunner runner) {
        this.context = context;
        this.traffic = traffic;
        this.links = links;
        this.board = board;
        this.store = store;
        this.committer = committer;
        this.runner = runner;
        this.stored = new StoredResults(context, store);
    }

    /** Takes a batch in; from any thread. */
    void submit(HttpCall call, String id, Route route, byte[] body, long arrivedNanos) {
        Either<List<String>, List<BatchItem>> items =
                context.dialects().batches().items(body);
        if (items.isLeft()) {
            refuse(call, id, Refusal.notRun(ErrorCode.INVALID_REQUEST, String.join("; ", items.getLeft())));
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

    /** Answers a call of the system's own interface; from any thread. */
    void answer(HttpCall call, SystemCall systemCall) {
        context.loop().execute(() -> {
            if (systemCall instanceof SystemCall.ReadResults read) {
                readResults(call, read);
            } else if (systemCall instanceof SystemCall.ReadItem read) {
                readItem(call, read);
            } else if (systemCall instanceof SystemCall.EndBatch end) {
                endBatch(call, end.batch());
            }
        });
    }

    /** Results for another host; empty if this one does not own the batch. */
    void ownResults(String id, int after, long waitMillis, PageReceiver receiver) {
        Optional<OwnedBatch> batch = board.find(id);
        if (batch.isEmpty()) {
            receiver.receive(Optional.empty());
            return;
        }
        BatchPage page = batch.get().page(after, MAX_PAGE_CHARACTERS);
        if (!page.results().isEmpty() || waitMillis <= 0 || batch.get().isFinished()) {
            receiver.receive(Optional.of(page));
            return;
        }
        Once answerNow =
                new Once(() -> receiver.receive(board.find(id).map(found -> found.page(after, MAX_PAGE_CHARACTERS))));
        board.await(id, answerNow);
        context.loop().after(waitMillis, answerNow);
    }

    /** Ends an owned batch, then runs the action; returns whether this host owns it. */
    boolean endOwn(String id, Runnable then) {
        Optional<OwnedBatch> batch = board.find(id);
        batch.ifPresent(found -> {
            runner.stop(id);
            committer.end(found, then);
        });
        return batch.isPresent();
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
        refuseUnavailable(submission.call, submission.id, nowUncertain);
    }

    private void readExisting(Submission submission) {
        context.onLoop(store.read(submission.id), (found, failure) -> {
            if (failure != null || found.isEmpty()) {
                refuseUnavailable(submission.call, submission.id, true);
                return;
            }
            BatchStore.Stored existing = found.get();
            if (!existing.record().bodyHash().equals(submission.record.bodyHash())) {
                refuse(
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
            context.log()
                    .record(
                            "batch.accepted",
                            "batch",
                            submission.id,
                            "items",
                            submission.items.size(),
                            "millis",
                            TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - submission.arrivedNanos));
        }
        confirm(submission);
        runner.balance();
    }

    private void confirm(Submission submission) {
        submission.call.reply(ACCEPTED, JSON, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private void readResults(HttpCall call, SystemCall.ReadResults read) {
        if (board.find(read.batch()).isPresent()) {
            ownResults(read.batch(), read.after(), read.waitMillis(), page -> replyPage(call, read, page));
            return;
        }
        Optional<Host> owner = board.owner(read.batch()).flatMap(links::find);
        if (owner.isEmpty()) {
            readStoredResults(call, read);
            return;
        }
        PeerMessage question = new GatewayMessage.ResultsAsk(read.batch(), read.after(), read.waitMillis());
        context.onLoop(links.ask(owner.get(), question, read.waitMillis() + ASK_MARGIN_MILLIS), (reply, failure) -> {
            boolean known = reply instanceof GatewayMessage.Results;
            replyPage(call, read, known ? ((GatewayMessage.Results) reply).page() : Optional.empty());
        });
    }

    private void replyPage(HttpCall call, SystemCall.ReadResults read, Optional<BatchPage> page) {
        if (page.isPresent()) {
            call.reply(OK, JSON, context.dialects().batches().page(page.get()));
        } else {
            readStoredResults(call, read);
        }
    }

    private void readStoredResults(HttpCall call, SystemCall.ReadResults read) {
        context.onLoop(stored.page(read.batch(), read.after()), (page, failure) -> {
            if (failure != null) {
                refuseUnavailable(call, read.batch(), false);
            } else if (page.isEmpty()) {
                refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such batch"));
            } else {
                call.reply(OK, JSON, context.dialects().batches().page(page.get()));
            }
        });
    }

    private void readItem(HttpCall call, SystemCall.ReadItem read) {
        Optional<OwnedBatch> batch = board.find(read.batch());
        if (batch.isPresent()) {
            replyItem(call, read, ownItem(read.batch(), read.item()));
            return;
        }
        Optional<Host> owner = board.owner(read.batch()).flatMap(links::find);
        if (owner.isEmpty()) {
            readStoredItem(call, read);
            return;
        }
        PeerMessage question = new GatewayMessage.ItemBodyAsk(read.batch(), read.item());
        context.onLoop(links.ask(owner.get(), question), (reply, failure) -> {
            if (reply instanceof GatewayMessage.ItemBody answer && answer.owned()) {
                replyItem(call, read, answer.body());
            } else {
                readStoredItem(call, read);
            }
        });
    }

    /** The body of an owned batch's item that is not listed yet. */
    Optional<byte[]> ownItem(String batchId, String item) {
        return board.find(batchId)
                .filter(batch -> !batch.record().ended())
                .flatMap(batch -> batch.unlistedItem(item))
                .map(BatchItem::body);
    }

    private void readStoredItem(HttpCall call, SystemCall.ReadItem read) {
        context.onLoop(stored.item(read.batch(), read.item()), (body, failure) -> {
            if (failure != null) {
                refuseUnavailable(call, read.batch(), false);
            } else {
                replyItem(call, read, body);
            }
        });
    }

    private void replyItem(HttpCall call, SystemCall.ReadItem read, Optional<byte[]> body) {
        if (body.isPresent()) {
            call.reply(OK, Map.of("content-type", "application/octet-stream"), body.get());
        } else {
            refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such open item"));
        }
    }

    private void endBatch(HttpCall call, String id) {
        Runnable done = () -> call.reply(OK, JSON, "{}".getBytes(StandardCharsets.UTF_8));
        if (endOwn(id, done)) {
            return;
        }
        Optional<Host> owner = board.owner(id).flatMap(links::find);
        if (owner.isEmpty()) {
            endStored(call, id, done);
            return;
        }
        context.onLoop(links.ask(owner.get(), new GatewayMessage.BatchEndAsk(id)), (reply, failure) -> {
            if (reply instanceof GatewayMessage.BatchEnded answer && answer.ended()) {
                done.run();
            } else {
                endStored(call, id, done);
            }
        });
    }

    private void endStored(HttpCall call, String id, Runnable done) {
        context.onLoop(store.read(id), (found, failure) -> {
            if (failure != null) {
                refuseUnavailable(call, id, true);
            } else if (found.isEmpty()) {
                refuse(call, id, Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such batch"));
            } else if (found.get().record().isFinished()) {
                done.run();
            } else {
                writeEnd(call, found.get(), done);
            }
        });
    }

    private void writeEnd(HttpCall call, BatchStore.Stored found, Runnable done) {
        BatchRecord ended = found.record().asEnded();
        context.onLoop(store.replace(found.id(), found.revision(), ended), (result, failure) -> {
            if (failure == null && result.succeeded()) {
                stored.forget(found.id());
                done.run();
            } else {
                // The owner committed meanwhile, or the answer was lost: the caller ends it again.
                refuseUnavailable(call, found.id(), true);
            }
        });
    }

    private void refuseUnavailable(HttpCall call, String id, boolean mayHaveRun) {
        refuse(
                call,
                id,
                new Refusal(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN,
                        "the key-value store does not answer",
                        Optional.of(RETRY_AFTER_MILLIS)));
    }

    private void refuse(HttpCall call, String id, Refusal refusal) {
        context.log()
                .record("batch.refused", "batch", id, "code", refusal.code().wireName(), "reason", refusal.message());
        traffic.refuse(call, id, refusal);
    }

    /** Takes a page, or nothing if the batch is not owned. */
    @FunctionalInterface
    interface PageReceiver {
        void receive(Optional<BatchPage> page);
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
