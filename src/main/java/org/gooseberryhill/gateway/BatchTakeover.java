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
import org.gooseberryhill.decision.requestbatch.OwnerFailureDetector;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Takes over batches whose owner is lost. Confined to the control thread.
 *
 * <p>Failure: an owner is killed or its host is lost, and its batches are never finished. Each gateway therefore scans
 * the records periodically; batches whose owner is not among the live hosts go to the gateway that rendezvous hashing
 * selects. If two gateways try to take the same batch, the record's revision lets only one of them succeed.
 */
final class BatchTakeover {
    private static final long LOAD_RETRY_MILLIS = 300;

    /** Delay before the records are scanned again after a scan that found an owner missing. */
    private static final long MISSING_OWNER_RESCAN_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchStore store;
    private final RecordWriter writer;
    private final OwnerFailureDetector failureDetector;
    private final Runnable onTaken;
    private final Consumer<BatchStore.StoredRecord> onRecordChanged;
    private final Consumer<List<BatchStore.StoredRecord>> onListed;
    private final Set<String> takeoversInProgress = new HashSet<>();
    private boolean scanning;
    private boolean rescanScheduled;

    BatchTakeover(
            GatewayContext context,
            PeerLinks links,
            BatchRegistry registry,
            BatchStore store,
            Runnable onTaken,
            Consumer<BatchStore.StoredRecord> onRecordChanged,
            Consumer<List<BatchStore.StoredRecord>> onListed) {
        this.context = context;
        this.links = links;
        this.registry = registry;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.failureDetector =
                new OwnerFailureDetector(context.settings().self().id().value());
        this.onTaken = onTaken;
        this.onRecordChanged = onRecordChanged;
        this.onListed = onListed;
    }

    /** Updates the set of live hosts, and scans the records as soon as a host is lost. Called often. */
    void tick() {
        if (failureDetector.updateLiveProcesses(links.liveProcessStarts(), context.nowNanos())) {
            scanRecords(true);
        }
    }

    /** Scans the records; only one scan runs at a time. */
    void scanRecords(boolean mayBeStale) {
        if (scanning) {
            return;
        }
        scanning = true;
        context.onLoop(store.listRecords(mayBeStale), (records, failure) -> {
            scanning = false;
            if (failure == null) {
                records.forEach(this::checkOwner);
                onListed.accept(records);
            }
        });
    }

    /**
     * Takes over a batch that its owner hands to this host. An owner that gets no reply in time offers the batch again,
     * so a batch that was already taken is confirmed once more. If this host has the batch at a revision that is not
     * later than the offered one, this does not show that it took the batch: it may have been suspended while another
     * host took the batch over from it.
     *
     * @param then gets whether this host has taken the batch
     */
    void takeOver(GatewayMessage.BatchHandOver handOver, Consumer<Boolean> then) {
        BatchStore.StoredRecord offered =
                new BatchStore.StoredRecord(handOver.batch(), handOver.record(), handOver.revision());
        if (registry.hasWrittenAfter(offered.id(), offered.revision())) {
            then.accept(true);
            return;
        }
        dropIfChangedElsewhere(offered);
        boolean mayTake = context.stop().phase() == PlannedStop.Phase.SERVING
                && registry.find(offered.id()).isEmpty();
        if (!mayTake || !takeoversInProgress.add(offered.id())) {
            then.accept(false);
            return;
        }
        claim(offered, Optional.of(handOver.progress()), then);
    }

    /**
     * Drops an owned batch whose record another process has changed. A batch without a record is left alone: its
     * creation by this host is still in progress and detects the change itself.
     */
    private void dropIfChangedElsewhere(BatchStore.StoredRecord found) {
        registry.find(found.id())
                .filter(owned -> owned.isRecorded() && found.revision() > owned.recordRevision())
                .ifPresent(owned -> onRecordChanged.accept(found));
    }

    private void checkOwner(BatchStore.StoredRecord found) {
        BatchRecord record = found.record();
        dropIfChangedElsewhere(found);
        if (record.isFinished() || registry.find(found.id()).isPresent() || takeoversInProgress.contains(found.id())) {
            return;
        }
        if (isOwnedByThisProcess(record)) {
            loadIfOwned(found.id());
            return;
        }
        if (!failureDetector.isLost(record.owner(), record.ownerStart(), context.nowNanos())) {
            registry.setOwner(found.id(), new HostId(record.owner()));
            rescanIfOwnerMissing(record);
            return;
        }
        boolean ownedByEarlierProcess =
                record.owner().equals(context.settings().self().id().value());
        if (ownedByEarlierProcess || links.isResponsibleFor("batch/" + found.id())) {
            takeoversInProgress.add(found.id());
            claim(found, Optional.empty(), taken -> {});
        }
    }

    private void rescanIfOwnerMissing(BatchRecord record) {
        if (rescanScheduled || failureDetector.isLive(record.owner(), record.ownerStart())) {
            return;
        }
        rescanScheduled = true;
        context.loop().after(MISSING_OWNER_RESCAN_MILLIS, () -> {
            rescanScheduled = false;
            scanRecords(true);
        });
    }

    private boolean isOwnedByThisProcess(BatchRecord record) {
        return record.owner().equals(context.settings().self().id().value())
                && record.ownerStart().equals(context.processStart());
    }

    /**
     * Loads a batch that this process does not have although the record names this process as the owner: a write whose
     * answer was lost took effect later. The listing may be older than a hand-over by this process, so the record is
     * read again.
     */
    private void loadIfOwned(String id) {
        takeoversInProgress.add(id);
        context.onLoop(store.readRecord(id), (found, failure) -> {
            boolean own = failure == null
                    && found.isPresent()
                    && isOwnedByThisProcess(found.get().record())
                    && !found.get().record().isFinished()
                    && registry.find(id).isEmpty();
            if (own) {
                load(found.get(), Optional.empty());
            } else {
                takeoversInProgress.remove(id);
            }
        });
    }

    /**
     * Makes this process the owner of a batch. The listed record may be stale; the write is conditional on its revision
     * and fails in that case.
     */
    private void claim(BatchStore.StoredRecord found, Optional<List<ItemCheckpoint>> progress, Consumer<Boolean> then) {
        BatchRecord claimed =
                found.record().withOwner(context.settings().self().id().value(), context.processStart());
        writer.write(
                found.id(),
                claimed,
                () -> store.replaceRecord(found.id(), found.revision(), claimed),
                new RecordWriter.WriteListener() {
                    @Override
                    public void onWritten(long revision) {
                        then.accept(true);
                        load(new BatchStore.StoredRecord(found.id(), claimed, revision), progress);
                    }

                    @Override
                    public void onSuperseded(Optional<BatchStore.StoredRecord> other) {
                        takeoversInProgress.remove(found.id());
                        then.accept(false);
                    }
                });
    }

    /**
     * Loads a batch that this host now owns.
     *
     * @param handedOver the checkpoints of its items if the last owner passed them on; otherwise the stored ones are
     *     read
     */
    private void load(BatchStore.StoredRecord taken, Optional<List<ItemCheckpoint>> handedOver) {
        CompletableFuture<List<ItemCheckpoint>> progress =
                handedOver.map(CompletableFuture::completedFuture).orElseGet(() -> store.readCheckpoints(taken.id()));
        context.onLoop(store.load(taken).thenCombine(progress, LoadedBatch::new), (loaded, failure) -> {
            if (failure != null) {
                context.timeline()
                        .event(EventKind.BATCH_LOAD_FAILED)
                        .job(taken.id())
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                context.loop().after(LOAD_RETRY_MILLIS, () -> load(taken, handedOver));
                return;
            }
            loaded.batch.restore(loaded.progress);
            onLoaded(taken, loaded);
        });
    }

    private void onLoaded(BatchStore.StoredRecord taken, LoadedBatch loaded) {
        takeoversInProgress.remove(taken.id());
        if (!registry.add(loaded.batch)) {
            // The caller has submitted the batch again in the meantime.
            return;
        }
        context.timeline()
                .event(EventKind.BATCH_TAKEN_OVER)
                .job(taken.id())
                .with("listed", taken.record().listed())
                .with("items", taken.record().items())
                .with("begun", loaded.progress.size())
                .write();
        links.broadcast(new GatewayMessage.BatchNotice(taken.id()));
        onTaken.run();
    }

    /** A loaded batch and the progress of its open items. */
    private record LoadedBatch(OwnedBatch batch, List<ItemCheckpoint> progress) {}
}
