package org.gooseberryhill.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.OwnerWatch;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Takes over batches whose owner is lost. For the control thread.
 *
 * <p>Failure: an owner is killed or its host is lost, and its batches would never be finished. Each gateway looks through
 * the records now and then; those of an owner that is not among the live hosts go to the gateway that rendezvous hashing
 * names. Two that both try are told apart by the record's revision.
 */
final class BatchTakeover {
    private static final long RETRY_MILLIS = 300;

    /** An owner that is missing when the records are looked through is looked at again after this time. */
    private static final long AGAIN_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchStore store;
    private final RecordWriter writer;
    private final OwnerWatch owners;
    private final Runnable onTaken;
    private final Consumer<BatchStore.Stored> onChangedElsewhere;
    private final Consumer<List<BatchStore.Stored>> onLooked;
    private final Set<String> taking = new HashSet<>();
    private boolean looking;
    private boolean lookPlanned;

    BatchTakeover(
            GatewayContext context,
            PeerLinks links,
            BatchBoard board,
            BatchStore store,
            Runnable onTaken,
            Consumer<BatchStore.Stored> onChangedElsewhere,
            Consumer<List<BatchStore.Stored>> onLooked) {
        this.context = context;
        this.links = links;
        this.board = board;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.owners = new OwnerWatch(context.settings().self().id().value());
        this.onTaken = onTaken;
        this.onChangedElsewhere = onChangedElsewhere;
        this.onLooked = onLooked;
    }

    /** Takes in which hosts live, and looks through the records as soon as one of them is lost; called often. */
    void tick() {
        if (owners.observe(links.liveStarts(), context.nowNanos())) {
            look(true);
        }
    }

    /** Looks through the records; one look at a time. */
    void look(boolean mayBeStale) {
        if (looking) {
            return;
        }
        looking = true;
        context.onLoop(store.list(mayBeStale), (records, failure) -> {
            looking = false;
            if (failure == null) {
                records.forEach(this::consider);
                onLooked.accept(records);
            }
        });
    }

    /**
     * Takes a batch that its owner gives to this host; the action gets whether that worked. An owner that has not heard of it
     * in time offers the batch again. A copy from before the offer is no sign that it was taken: its host was suspended while
     * another one took the batch from it.
     */
    void takeOver(GatewayMessage.BatchHandOver handOver, Consumer<Boolean> then) {
        BatchStore.Stored offered = new BatchStore.Stored(handOver.batch(), handOver.record(), handOver.revision());
        if (board.hasWritten(offered.id(), offered.revision())) {
            then.accept(true);
            return;
        }
        dropIfChangedElsewhere(offered);
        boolean mayTake = context.stop().phase() == PlannedStop.Phase.SERVING
                && board.find(offered.id()).isEmpty();
        if (!mayTake || !taking.add(offered.id())) {
            then.accept(false);
            return;
        }
        take(offered, Optional.of(handOver.progress()), then);
    }

    /** A copy that is not recorded yet is still being written by this host, which learns what became of that by itself. */
    private void dropIfChangedElsewhere(BatchStore.Stored found) {
        board.find(found.id())
                .filter(owned -> owned.isRecorded() && found.revision() > owned.recordRevision())
                .ifPresent(owned -> onChangedElsewhere.accept(found));
    }

    private void consider(BatchStore.Stored found) {
        BatchRecord record = found.record();
        dropIfChangedElsewhere(found);
        if (record.isFinished() || board.find(found.id()).isPresent() || taking.contains(found.id())) {
            return;
        }
        if (isOwn(record)) {
            adopt(found.id());
            return;
        }
        if (!owners.isLost(record.owner(), record.ownerStart(), context.nowNanos())) {
            board.ownedBy(found.id(), new HostId(record.owner()));
            lookAgainIfMissing(record);
            return;
        }
        boolean ownEarlier =
                record.owner().equals(context.settings().self().id().value());
        if (ownEarlier || links.isChosen("batch/" + found.id())) {
            taking.add(found.id());
            take(found, Optional.empty(), taken -> {});
        }
    }

    private void lookAgainIfMissing(BatchRecord record) {
        if (lookPlanned || owners.isLive(record.owner(), record.ownerStart())) {
            return;
        }
        lookPlanned = true;
        context.loop().after(AGAIN_MILLIS, () -> {
            lookPlanned = false;
            look(true);
        });
    }

    private boolean isOwn(BatchRecord record) {
        return record.owner().equals(context.settings().self().id().value())
                && record.ownerStart().equals(context.processStart());
    }

    /**
     * The record says that this process owns the batch, which knows nothing of it: a write whose answer was lost was done
     * later. The listing may be older than what this process gave away, so the record is read again.
     */
    private void adopt(String id) {
        taking.add(id);
        context.onLoop(store.read(id), (found, failure) -> {
            boolean own = failure == null
                    && found.isPresent()
                    && isOwn(found.get().record())
                    && !found.get().record().isFinished()
                    && board.find(id).isEmpty();
            if (own) {
                load(found.get(), Optional.empty());
            } else {
                taking.remove(id);
            }
        });
    }

    /** The record as listed may be stale; the write under its revision finds that out. */
    private void take(BatchStore.Stored found, Optional<List<ItemCheckpoint>> progress, Consumer<Boolean> then) {
        BatchRecord own = found.record().ownedBy(context.settings().self().id().value(), context.processStart());
        writer.write(
                found.id(), own, () -> store.replace(found.id(), found.revision(), own), new RecordWriter.Result() {
                    @Override
                    public void done(long revision) {
                        then.accept(true);
                        load(new BatchStore.Stored(found.id(), own, revision), progress);
                    }

                    @Override
                    public void superseded(Optional<BatchStore.Stored> other) {
                        taking.remove(found.id());
                        then.accept(false);
                    }
                });
    }

    /**
     * Reads a batch that is this host's from now on.
     *
     * @param handedOver what its items had generated, if its last owner told; else what it wrote down holds
     */
    private void load(BatchStore.Stored taken, Optional<List<ItemCheckpoint>> handedOver) {
        CompletableFuture<List<ItemCheckpoint>> progress =
                handedOver.map(CompletableFuture::completedFuture).orElseGet(() -> store.progress(taken.id()));
        context.onLoop(store.load(taken).thenCombine(progress, Loaded::new), (loaded, failure) -> {
            if (failure != null) {
                context.timeline()
                        .event(EventKind.BATCH_LOAD_FAILED)
                        .job(taken.id())
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                context.loop().after(RETRY_MILLIS, () -> load(taken, handedOver));
                return;
            }
            loaded.batch.restore(loaded.progress);
            loaded(taken, loaded);
        });
    }

    private void loaded(BatchStore.Stored taken, Loaded loaded) {
        taking.remove(taken.id());
        if (!board.add(loaded.batch)) {
            // Its caller has sent it again meanwhile.
            return;
        }
        context.timeline()
                .event(EventKind.BATCH_TAKEN_OVER)
                .job(taken.id())
                .with("listed", taken.record().listed())
                .with("items", taken.record().items())
                .with("begun", loaded.progress.size())
                .write();
        links.tellAll(new GatewayMessage.BatchNotice(taken.id()));
        onTaken.run();
    }

    /** A batch as read, and how far its open items are. */
    private record Loaded(OwnedBatch batch, List<ItemCheckpoint> progress) {}
}
