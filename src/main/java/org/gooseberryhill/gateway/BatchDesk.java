package org.gooseberryhill.gateway;

import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.dialect.SystemCall;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;

/**
 * Handles API calls that read or end request batches. Entered from traffic threads, decides on the control thread.
 *
 * <p>Invariant: a page contains only committed results, whichever host answers the call.
 */
final class BatchDesk {
    /** Maximum number of characters in one page; the interface allows a megabyte per answer. */
    static final int MAX_PAGE_CHARACTERS = 700_000;

    private static final int OK = 200;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    /** Added to the time for which the owner may hold back its reply, to allow for the transfer between the hosts. */
    private static final long REPLY_MARGIN_MILLIS = 500;

    private final GatewayContext context;
    private final BatchReplies replies;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchEnding ending;
    private final StoredResults stored;

    BatchDesk(
            GatewayContext context,
            BatchReplies replies,
            PeerLinks links,
            BatchBoard board,
            StoredResults stored,
            BatchEnding ending) {
        this.context = context;
        this.replies = replies;
        this.links = links;
        this.board = board;
        this.stored = stored;
        this.ending = ending;
    }

    /** Answers an API call. Callable from any thread. */
    void answer(HttpCall call, SystemCall systemCall) {
        context.loop().execute(() -> {
            if (systemCall instanceof SystemCall.ReadResults read) {
                readResults(call, read);
            } else if (systemCall instanceof SystemCall.ReadItem read) {
                readItem(call, read);
            } else if (systemCall instanceof SystemCall.EndBatch end) {
                ending.end(call, end.batch());
            }
        });
    }

    /**
     * Reads a page of an owned batch, also on behalf of another host. Waits for results if there are none yet.
     *
     * @param receiver gets the page, or empty if this host does not own the batch
     */
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
        RunOnce answerOnce = new RunOnce(
                () -> receiver.receive(board.find(id).map(found -> found.page(after, MAX_PAGE_CHARACTERS))));
        board.addWaiter(id, answerOnce);
        context.loop().after(waitMillis, answerOnce);
    }

    private void readResults(HttpCall call, SystemCall.ReadResults read) {
        // A stopping host answers at once: a waiting call would be cut off when the process ends.
        long waitMillis = context.stop().phase() == PlannedStop.Phase.SERVING ? read.waitMillis() : 0;
        if (board.find(read.batch()).isPresent()) {
            ownResults(read.batch(), read.after(), waitMillis, page -> replyPage(call, read, page));
            return;
        }
        Optional<Host> owner = board.owner(read.batch()).flatMap(links::find);
        if (owner.isEmpty()) {
            readStoredResults(call, read);
            return;
        }
        PeerMessage question = new GatewayMessage.ResultsAsk(read.batch(), read.after(), waitMillis);
        context.onLoop(links.ask(owner.get(), question, waitMillis + REPLY_MARGIN_MILLIS), (reply, failure) -> {
            boolean hasOwnerAnswer = reply instanceof GatewayMessage.Results;
            replyPage(call, read, hasOwnerAnswer ? ((GatewayMessage.Results) reply).page() : Optional.empty());
        });
    }

    private void replyPage(HttpCall call, SystemCall.ReadResults read, Optional<BatchPage> page) {
        if (page.isPresent()) {
            call.reply(OK, JSON_HEADERS, context.dialects().batches().page(page.get()));
        } else {
            readStoredResults(call, read);
        }
    }

    private void readStoredResults(HttpCall call, SystemCall.ReadResults read) {
        context.onLoop(stored.readPage(read.batch(), read.after()), (page, failure) -> {
            if (failure != null) {
                replies.unavailable(call, read.batch(), false);
            } else if (page.isEmpty()) {
                replies.refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such batch"));
            } else {
                call.reply(OK, JSON_HEADERS, context.dialects().batches().page(page.get()));
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

    /** Returns the body of an item without a committed result, if this host owns the batch and it is not ended. */
    Optional<byte[]> ownItem(String batchId, String item) {
        return board.find(batchId)
                .filter(batch -> !batch.record().ended())
                .flatMap(batch -> batch.uncommittedItem(item))
                .map(BatchItem::body);
    }

    private void readStoredItem(HttpCall call, SystemCall.ReadItem read) {
        context.onLoop(stored.readItemBody(read.batch(), read.item()), (body, failure) -> {
            if (failure != null) {
                replies.unavailable(call, read.batch(), false);
            } else {
                replyItem(call, read, body);
            }
        });
    }

    private void replyItem(HttpCall call, SystemCall.ReadItem read, Optional<byte[]> body) {
        if (body.isPresent()) {
            call.reply(OK, Map.of("content-type", "application/octet-stream"), body.get());
        } else {
            replies.refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such open item"));
        }
    }

    /** Receives a page, or empty if this host does not own the batch. */
    @FunctionalInterface
    interface PageReceiver {
        void receive(Optional<BatchPage> page);
    }
}
