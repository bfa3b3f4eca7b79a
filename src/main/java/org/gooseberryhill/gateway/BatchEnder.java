package org.gooseberryhill.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.stored.BatchStore;

/**
 * Ends batches on request of their callers. Confined to the control thread.
 *
 * <p>Invariant: the end of a batch is confirmed only once its record is marked as ended. The owner is asked first
 * whenever it can be found: if it learned of the end later than the caller, it would meanwhile start items whose
 * results nobody reads.
 */
final class BatchEnder {
    private static final int OK = 200;
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    /**
     * Time limit for ending an owned batch. The record of the batch can't be written during an outage of the key-value
     * store; the caller then has to try again.
     */
    private static final long END_TIMEOUT_MILLIS = 2500;

    /** An owner that can't be notified for two seconds finds the ended record by itself. */
    private static final int NOTIFY_OWNER_ATTEMPTS = 10;

    private static final long NOTIFY_OWNER_INTERVAL_MILLIS = 200;

    private final GatewayContext context;
    private final BatchRefusals refusals;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchStore store;
    private final BatchCommitter committer;
    private final BatchRunner runner;
    private final StoredBatchReader storedBatchReader;

    BatchEnder(
            GatewayContext context,
            BatchRefusals refusals,
            PeerLinks links,
            BatchRegistry registry,
            BatchStore store,
            BatchCommitter committer,
            BatchRunner runner,
            StoredBatchReader storedBatchReader) {
        this.context = context;
        this.refusals = refusals;
        this.links = links;
        this.registry = registry;
        this.store = store;
        this.committer = committer;
        this.runner = runner;
        this.storedBatchReader = storedBatchReader;
    }

    /** Ends a batch, whichever host owns it. */
    void end(HttpCall call, String id, BatchAccess access) {
        if (context.stop().endsSoon(context.nowNanos())) {
            refusals.refuse(call, id, GatewayTraffic.STOPPING_REFUSAL);
            return;
        }
        call.setLastAnswer(() -> refusals.refuse(call, id, GatewayTraffic.refusalAtEnd(Outcome.MAY_HAVE_RUN)));
        if (registry.find(id, access).isPresent()) {
            EndReply reply = new EndReply(call, id);
            endOwned(id, access, reply::send);
            context.loop().after(END_TIMEOUT_MILLIS, () -> reply.send(false));
            return;
        }
        Optional<Host> owner = registry.owner(id).flatMap(links::find);
        if (owner.isPresent()) {
            endAtOwner(id, owner.get(), access, () -> confirm(call), () -> endStored(call, id, access, owner));
        } else {
            endStored(call, id, access, Optional.empty());
        }
    }

    /**
     * Ends a batch if this host owns it and the caller may end it; the receiver gets whether its record is marked as ended.
     */
    void endOwned(String id, BatchAccess access, Consumer<Boolean> receiver) {
        Optional<OwnedBatch> batch = registry.find(id, access);
        if (batch.isEmpty()) {
            receiver.accept(false);
            return;
        }
        batch.get().markEnding();
        runner.cancelRunsOfBatch(id);
        committer.end(batch.get(), receiver);
    }

    private void endAtOwner(String id, Host owner, BatchAccess access, Runnable onEnded, Runnable onNotEnded) {
        context.onLoop(links.ask(owner, new GatewayMessage.BatchEndRequest(id, access)), (reply, failure) -> {
            if (reply instanceof GatewayMessage.BatchEnded answer && answer.ended()) {
                onEnded.run();
            } else {
                onNotEnded.run();
            }
        });
    }

    /**
     * Ends a batch for which this host has no recorded owner, or whose owner did not end it.
     *
     * @param asked the host that was asked without success
     */
    private void endStored(HttpCall call, String id, BatchAccess access, Optional<Host> asked) {
        context.onLoop(store.readRecord(id), (found, failure) -> {
            if (failure != null) {
                refusals.unavailable(call, id, true);
            } else if (found.isEmpty() || !access.isGranted(found.get().record().account())) {
                refusals.refuse(call, id, Refusal.notRun(ErrorCode.NOT_FOUND, "there is no such batch"));
            } else if (found.get().record().isFinished()) {
                confirm(call);
            } else {
                endRecord(call, found.get(), asked);
            }
        });
    }

    private void endRecord(HttpCall call, BatchStore.StoredRecord stored, Optional<Host> asked) {
        findOwner(stored, owner -> {
            if (owner.isPresent() && !owner.equals(asked)) {
                endAtOwner(
                        stored.id(),
                        owner.get(),
                        BatchAccess.UNCHECKED,
                        () -> confirm(call),
                        () -> writeEndedRecord(call, stored));
            } else {
                writeEndedRecord(call, stored);
            }
        });
    }

    /**
     * Finds the owner of a batch in this host's list of live hosts, otherwise by the owner's key in the store: a host
     * that has just started may not have the owner on its list yet.
     */
    private void findOwner(BatchStore.StoredRecord stored, Consumer<Optional<Host>> receiver) {
        HostId owner = new HostId(stored.record().owner());
        Optional<Host> liveOwner = links.find(owner);
        if (liveOwner.isPresent()) {
            receiver.accept(liveOwner);
            return;
        }
        context.onLoop(
                store.readHost(owner), (host, failure) -> receiver.accept(failure == null ? host : Optional.empty()));
    }

    private void writeEndedRecord(HttpCall call, BatchStore.StoredRecord stored) {
        BatchRecord ended = stored.record().asEnded();
        CompletableFuture<KeyValueStore.WriteResult> write =
                store.replaceRecord(stored.id(), stored.revision(), ended, store.newWriteId());
        context.onLoop(write, (result, failure) -> {
            if (failure == null && result.succeeded()) {
                storedBatchReader.evict(stored.id());
                confirm(call);
                notifyOwner(stored, NOTIFY_OWNER_ATTEMPTS);
            } else {
                // The owner committed in the meantime, or the answer was lost: the caller has to try again.
                refusals.unavailable(call, stored.id(), true);
            }
        });
    }

    /**
     * Notifies the owner that the record is marked as ended. Otherwise the owner would notice only at its next write,
     * and start further items until then.
     */
    private void notifyOwner(BatchStore.StoredRecord stored, int attempts) {
        if (attempts == 0) {
            return;
        }
        Runnable retry =
                () -> context.loop().after(NOTIFY_OWNER_INTERVAL_MILLIS, () -> notifyOwner(stored, attempts - 1));
        Optional<Host> host = links.find(new HostId(stored.record().owner()));
        if (host.isEmpty()) {
            retry.run();
            return;
        }
        PeerMessage request = new GatewayMessage.BatchEndRequest(stored.id(), BatchAccess.UNCHECKED);
        context.onLoop(links.ask(host.get(), request), (reply, failure) -> {
            if (failure != null) {
                retry.run();
            }
        });
    }

    private static void confirm(HttpCall call) {
        call.reply(OK, JSON_HEADERS, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** The single answer to an end call, given when the batch is ended or when the time limit is reached. */
    private final class EndReply {
        private final HttpCall call;
        private final String id;
        private boolean sent;

        EndReply(HttpCall call, String id) {
            this.call = call;
            this.id = id;
        }

        void send(boolean ended) {
            if (sent) {
                return;
            }
            sent = true;
            if (ended) {
                confirm(call);
            } else {
                refusals.unavailable(call, id, true);
            }
        }
    }
}
