package org.gooseberryhill.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.OwnerFailureDetector;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Takes over batches whose owner is lost. Confined to the control thread.
 *
 * <p>Guards against batches that are never finished because their owner is killed or its host is lost. Each gateway
 * therefore scans the records periodically; batches whose owner is not among the live hosts go to the gateway that
 * rendezvous hashing selects. If two gateways try to take the same batch, the record's revision lets only one of them
 * succeed.
 */
final class BatchTakeover {
    /**
     * Period of the scans of batch records by each host of a small fleet. The loss of a host triggers a scan of its own; the
     * periodic scan finds what no event reports: a write that was applied although its answer was lost.
     */
    private static final long RECORD_SCAN_PERIOD_MILLIS = 4000;

    /** Larger fleets scan as often as one of this size, all hosts together: each scan is a store call. */
    private static final int HOSTS_THAT_SCAN_OFTEN = 8;

    private static final long LOAD_RETRY_MILLIS = 300;

    /** Delay before the records are scanned again after a scan that found an owner missing. */
    private static final long MISSING_OWNER_RESCAN_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchStore store;
    private final RecordWriter writer;
    private final OwnerFailureDetector failureDetector;
    private final Runnable onTakenOver;
    private final BiConsumer<OwnedBatch, BatchStore.StoredRecord> onRecordChanged;
    private final Consumer<List<BatchStore.StoredRecord>> onListed;
    private final Map<String, BatchRecord> recordsOfTakeovers = new HashMap<>();
    private boolean scanning;
    private boolean rescanScheduled;

    BatchTakeover(
            GatewayContext context,
            PeerLinks links,
            BatchRegistry registry,
            BatchStore store,
            Runnable onTakenOver,
            BiConsumer<OwnedBatch, BatchStore.StoredRecord> onRecordChanged,
            Consumer<List<BatchStore.StoredRecord>> onListed) {
        this.context = context;
        this.links = links;
        this.registry = registry;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.failureDetector =
                new OwnerFailureDetector(context.settings().self().id().value());
        this.onTakenOver = onTakenOver;
        this.onRecordChanged = onRecordChanged;
        this.onListed = onListed;
    }

    /**
     * Scans the records at once and then periodically. Batches that an earlier process of this host owned can be taken over
     * without waiting for other hosts.
     */
    void start() {
        scanRecords(false);
        scanPeriodically();
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
     * Returns the record of a batch that this host is taking over or reading from the key-value store, as it was found there;
     * empty for any other batch.
     */
    Optional<BatchRecord> recordOfTakeover(String id) {
        return Optional.ofNullable(recordsOfTakeovers.get(id));
    }

    /**
     * Takes over a batch that its owner hands to this host. An owner that gets no reply in time offers the batch again,
     * so a batch that was already taken is confirmed once more. If this host has the batch at a revision that is not
     * later than the offered one, this does not show that it took the batch: it may have been suspended while another
     * host took the batch over from it.
     *
     * @param receiver gets whether this host has taken the batch
     */
    void takeOver(GatewayMessage.BatchHandOver handOver, Consumer<Boolean> receiver) {
        BatchStore.StoredRecord offered =
                new BatchStore.StoredRecord(handOver.batch(), handOver.record(), handOver.revision());
        if (registry.hasWrittenAfter(offered.id(), offered.revision())) {
            receiver.accept(true);
            return;
        }
        dropIfChangedElsewhere(offered);
        boolean mayTake = context.stop().phase() == PlannedStop.Phase.SERVING
                && registry.find(offered.id()).isEmpty();
        if (!mayTake || recordsOfTakeovers.putIfAbsent(offered.id(), offered.record()) != null) {
            receiver.accept(false);
            return;
        }
        claim(offered, Optional.of(handOver.progress()), receiver);
    }

    /**
     * Drops an owned batch whose record another process has changed. A batch without a record is left alone: its
     * creation by this host is still in progress and detects the change itself.
     */
    private void dropIfChangedElsewhere(BatchStore.StoredRecord stored) {
        registry.find(stored.id())
                .filter(owned -> owned.isRecorded() && stored.revision() > owned.recordRevision())
                .ifPresent(owned -> onRecordChanged.accept(owned, stored));
    }

    private void checkOwner(BatchStore.StoredRecord stored) {
        BatchRecord record = stored.record();
        dropIfChangedElsewhere(stored);
        if (record.isFinished()
                || registry.find(stored.id()).isPresent()
                || recordsOfTakeovers.containsKey(stored.id())) {
            return;
        }
        if (isOwnedByThisProcess(record)) {
            loadIfOwned(stored);
            return;
        }
        if (!failureDetector.isLost(record.owner(), record.ownerStart(), context.nowNanos())) {
            registry.setOwner(stored.id(), new HostId(record.owner()));
            rescanIfOwnerMissing(record);
            return;
        }
        boolean ownedByEarlierProcess =
                record.owner().equals(context.settings().self().id().value());
        if (ownedByEarlierProcess || links.isResponsibleFor("batch/" + stored.id())) {
            recordsOfTakeovers.put(stored.id(), record);
            claim(stored, Optional.empty(), taken -> {});
        }
    }

    private void scanPeriodically() {
        int hosts = links.gateways().size() + 1;
        long periodMillis = RECORD_SCAN_PERIOD_MILLIS * Math.max(1, hosts / HOSTS_THAT_SCAN_OFTEN);
        context.loop().after(periodMillis, () -> {
            scanRecords(true);
            scanPeriodically();
        });
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
     * Loads a batch that this process does not have although the record names this process as the owner: a write whose answer
     * was lost took effect later, or this process had another copy of it that is of no use. The given record may be older than a
     * hand-over by this process, so it is read again.
     */
    void loadIfOwned(BatchStore.StoredRecord listed) {
        String id = listed.id();
        if (recordsOfTakeovers.putIfAbsent(id, listed.record()) != null) {
            return;
        }
        context.onLoop(store.readRecord(id), (found, failure) -> {
            boolean stillOwned = failure == null
                    && found.isPresent()
                    && isOwnedByThisProcess(found.get().record())
                    && !found.get().record().isFinished()
                    && registry.find(id).isEmpty();
            if (stillOwned) {
                load(found.get(), Optional.empty());
            } else {
                recordsOfTakeovers.remove(id);
            }
        });
    }

    /**
     * Makes this process the owner of a batch. The listed record may be stale; the write is conditional on its revision
     * and fails in that case.
     */
    private void claim(
            BatchStore.StoredRecord stored, Optional<List<ItemCheckpoint>> checkpoints, Consumer<Boolean> receiver) {
        BatchRecord claimed =
                stored.record().withOwner(context.settings().self().id().value(), context.processStart());
        WriteId writeId = store.newWriteId();
        writer.write(
                stored.id(),
                writeId,
                () -> store.replaceRecord(stored.id(), stored.revision(), claimed, writeId),
                new RecordWriter.WriteListener() {
                    @Override
                    public void onWritten(long revision) {
                        receiver.accept(true);
                        load(new BatchStore.StoredRecord(stored.id(), claimed, revision), checkpoints);
                    }

                    @Override
                    public void onSuperseded(Optional<BatchStore.StoredRecord> other) {
                        recordsOfTakeovers.remove(stored.id());
                        receiver.accept(false);
                    }

                    @Override
                    public void onRejected() {
                        recordsOfTakeovers.remove(stored.id());
                        receiver.accept(false);
                    }
                });
    }

    /**
     * Loads a batch that this host now owns.
     *
     * @param handedOverCheckpoints the checkpoints of its items if the last owner passed them on; otherwise the stored
     *     ones are read
     */
    private void load(BatchStore.StoredRecord ownedRecord, Optional<List<ItemCheckpoint>> handedOverCheckpoints) {
        CompletableFuture<List<ItemCheckpoint>> checkpoints = handedOverCheckpoints
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> store.readCheckpoints(ownedRecord.id()));
        context.onLoop(store.load(ownedRecord).thenCombine(checkpoints, LoadedBatch::new), (loaded, failure) -> {
            if (failure != null) {
                context.timeline()
                        .event(EventKind.BATCH_LOAD_FAILED)
                        .job(ownedRecord.id())
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                context.loop().after(LOAD_RETRY_MILLIS, () -> load(ownedRecord, handedOverCheckpoints));
                return;
            }
            loaded.batch.restore(loaded.progress);
            onLoaded(ownedRecord, loaded);
        });
    }

    private void onLoaded(BatchStore.StoredRecord ownedRecord, LoadedBatch loaded) {
        recordsOfTakeovers.remove(ownedRecord.id());
        if (!registry.add(loaded.batch)) {
            // The caller has submitted the batch again in the meantime.
            context.timeline()
                    .event(EventKind.BATCH_LOAD_UNUSED)
                    .job(ownedRecord.id())
                    .with("listed", ownedRecord.record().listed())
                    .with("revision", ownedRecord.revision())
                    .write();
            return;
        }
        context.timeline()
                .event(EventKind.BATCH_TAKEN_OVER)
                .job(ownedRecord.id())
                .with("listed", ownedRecord.record().listed())
                .with("items", ownedRecord.record().items())
                .with("begun", loaded.progress.size())
                .with("revision", ownedRecord.revision())
                .write();
        links.broadcast(new GatewayMessage.BatchNotice(ownedRecord.id()));
        onTakenOver.run();
    }

    /** A loaded batch and the progress of its open items. */
    private record LoadedBatch(OwnedBatch batch, List<ItemCheckpoint> progress) {}
}
