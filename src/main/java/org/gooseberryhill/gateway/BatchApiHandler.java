package org.gooseberryhill.gateway;

import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.dialect.BatchApiCall;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Handles API calls that read or end request batches. Calls arrive on traffic threads and are processed on the control
 * thread.
 *
 * <p>Invariant: a page contains only committed results, whichever host answers the call.
 */
final class BatchApiHandler {
    /** Maximum size of one page as JSON. */
    static final int MAX_PAGE_BYTES = 1_000_000;

    private static final int OK = 200;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    /** Added to the time for which the owner may hold back its reply, to allow for the transfer between the hosts. */
    private static final long REPLY_MARGIN_MILLIS = 500;

    private final GatewayContext context;
    private final BatchRefusals refusals;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchEnder ender;
    private final StoredBatchReader storedBatchReader;

    BatchApiHandler(
            GatewayContext context,
            BatchRefusals refusals,
            PeerLinks links,
            BatchRegistry registry,
            StoredBatchReader storedBatchReader,
            BatchEnder ender) {
        this.context = context;
        this.refusals = refusals;
        this.links = links;
        this.registry = registry;
        this.storedBatchReader = storedBatchReader;
        this.ender = ender;
    }

    /** Answers an API call. Callable from any thread. */
    void handle(HttpCall call, BatchApiCall batchApiCall, BatchAccess access) {
        context.loop().execute(() -> {
            if (batchApiCall instanceof BatchApiCall.ReadResults read) {
                readResults(call, read, access);
            } else if (batchApiCall instanceof BatchApiCall.ReadItem read) {
                readItem(call, read, access);
            } else if (batchApiCall instanceof BatchApiCall.EndBatch end) {
                ender.end(call, end.batch(), access);
            }
        });
    }

    /**
     * Reads a page of an owned batch, also on behalf of another host. Waits for results if there are none yet.
     *
     * @param receiver gets the page, or empty if this host does not own the batch or the caller may not see it
     */
    void readOwnedResults(String id, int firstPosition, long waitMillis, BatchAccess access, PageReceiver receiver) {
        Optional<OwnedBatch> batch = registry.find(id, access);
        if (batch.isEmpty()) {
            receiver.receive(Optional.empty());
            return;
        }
        BatchPage page = batch.get().page(firstPosition, MAX_PAGE_BYTES);
        if (!page.results().isEmpty() || waitMillis <= 0 || batch.get().isFinished()) {
            receiver.receive(Optional.of(page));
            return;
        }
        RunOnce answerOnce = new RunOnce(
                () -> receiver.receive(registry.find(id).map(found -> found.page(firstPosition, MAX_PAGE_BYTES))));
        registry.addWaiter(id, answerOnce);
        context.loop().after(waitMillis, answerOnce);
    }

    private void readResults(HttpCall call, BatchApiCall.ReadResults read, BatchAccess access) {
        // A stopping host answers at once: a waiting call would be cut off when the process ends.
        long waitMillis = context.stop().phase() == PlannedStop.Phase.SERVING ? read.waitMillis() : 0;
        if (registry.find(read.batch()).isPresent()) {
            readOwnedResults(
                    read.batch(),
                    read.firstPosition(),
                    waitMillis,
                    access,
                    page -> replyPage(call, read, access, page, "memory"));
            return;
        }
        Optional<Host> owner = registry.owner(read.batch()).flatMap(links::find);
        if (owner.isEmpty()) {
            readStoredResults(call, read, access);
            return;
        }
        PeerMessage request = new GatewayMessage.ResultsRequest(read.batch(), read.firstPosition(), waitMillis, access);
        context.onLoop(links.ask(owner.get(), request, waitMillis + REPLY_MARGIN_MILLIS), (reply, failure) -> {
            boolean hasOwnerAnswer = reply instanceof GatewayMessage.Results;
            replyPage(
                    call,
                    read,
                    access,
                    hasOwnerAnswer ? ((GatewayMessage.Results) reply).page() : Optional.empty(),
                    owner.get().id().value());
        });
    }

    /** Sends a page that this host or the owner had in memory; without one, the results are read from the store. */
    private void replyPage(
            HttpCall call, BatchApiCall.ReadResults read, BatchAccess access, Optional<BatchPage> page, String source) {
        if (page.isPresent()) {
            sendPage(call, read, page.get(), source);
        } else {
            readStoredResults(call, read, access);
        }
    }

    private void readStoredResults(HttpCall call, BatchApiCall.ReadResults read, BatchAccess access) {
        String source = storedBatchReader.isCached(read.batch(), read.firstPosition()) ? "cache" : "store";
        context.onLoop(storedBatchReader.readPage(read.batch(), read.firstPosition(), access), (page, failure) -> {
            if (failure != null) {
                refusals.unavailable(call, read.batch(), false);
            } else if (page.isEmpty()) {
                refusals.refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such batch"));
            } else {
                sendPage(call, read, page.get(), source);
            }
        });
    }

    private void sendPage(HttpCall call, BatchApiCall.ReadResults read, BatchPage page, String source) {
        if (!page.results().isEmpty()) {
            context.timeline()
                    .event(EventKind.BATCH_PAGE_SERVED)
                    .job(read.batch())
                    .with("source", source)
                    .with("firstPosition", page.after())
                    .with("results", page.results().size())
                    .with("firstItem", page.results().get(0).id())
                    .write();
        }
        call.reply(OK, JSON_HEADERS, context.dialects().batches().formatPage(page));
    }

    private void readItem(HttpCall call, BatchApiCall.ReadItem read, BatchAccess access) {
        Optional<OwnedBatch> batch = registry.find(read.batch());
        if (batch.isPresent()) {
            replyItem(call, read, findOwnedItemBody(read.batch(), read.item(), access));
            return;
        }
        Optional<Host> owner = registry.owner(read.batch()).flatMap(links::find);
        if (owner.isEmpty()) {
            readStoredItem(call, read, access);
            return;
        }
        PeerMessage request = new GatewayMessage.ItemBodyRequest(read.batch(), read.item(), access);
        context.onLoop(links.ask(owner.get(), request), (reply, failure) -> {
            if (reply instanceof GatewayMessage.ItemBody answer && answer.owned()) {
                replyItem(call, read, answer.body());
            } else {
                readStoredItem(call, read, access);
            }
        });
    }

    /**
     * Returns the body of an item without a committed result, if this host owns the batch, the caller may see it and it is not
     * ended.
     */
    Optional<byte[]> findOwnedItemBody(String batchId, String item, BatchAccess access) {
        return registry.find(batchId, access)
                .filter(batch -> !batch.record().ended())
                .flatMap(batch -> batch.uncommittedItem(item))
                .map(BatchItem::body);
    }

    private void readStoredItem(HttpCall call, BatchApiCall.ReadItem read, BatchAccess access) {
        context.onLoop(storedBatchReader.readItemBody(read.batch(), read.item(), access), (body, failure) -> {
            if (failure != null) {
                refusals.unavailable(call, read.batch(), false);
            } else {
                replyItem(call, read, body);
            }
        });
    }

    private void replyItem(HttpCall call, BatchApiCall.ReadItem read, Optional<byte[]> body) {
        if (body.isPresent()) {
            call.reply(OK, Map.of("content-type", "application/octet-stream"), body.get());
        } else {
            refusals.refuse(call, read.batch(), Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such open item"));
        }
    }

    /** Receives a page, or empty if this host does not own the batch. */
    @FunctionalInterface
    interface PageReceiver {
        void receive(Optional<BatchPage> page);
    }
}
