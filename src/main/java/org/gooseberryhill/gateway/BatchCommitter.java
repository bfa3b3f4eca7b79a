package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.SaveTiming;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Commits results of owned batches to the key-value store, which makes them readable, and checkpoints the progress of
 * open items. Confined to the control thread.
 *
 * <p>Invariants: at most one write of a batch's record is in flight; a result becomes readable only after the write
 * that contains it; an unanswered write is repeated unchanged until the record shows whether it took effect; a commit that the
 * store refuses as invalid is divided. A commit
 * whose record was changed by another process is not repeated: the batch has another owner, or was ended. The outcome of a
 * write concerns only the copy of the batch that made it.
 */
final class BatchCommitter {
    private final GatewayContext context;
    private final BatchStore store;
    private final RecordWriter writer;
    private final BatchRegistry registry;
    private final BatchRoutes routes;
    private final Consumer<String> onLost;
    private final SaveTiming saveTiming = new SaveTiming();
    private final Map<String, List<Consumer<Boolean>>> endReceivers = new HashMap<>();
    private final Set<OwnedBatch> writesInFlight = new HashSet<>();

    BatchCommitter(
            GatewayContext context,
            BatchStore store,
            BatchRegistry registry,
            BatchRoutes routes,
            Consumer<String> onLost) {
        this.context = context;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.registry = registry;
        this.routes = routes;
        this.onLost = onLost;
    }

    /** Writes results and progress that are due. Called often. */
    void tick(boolean stopping) {
        List<OwnedBatch> batchesToSave = new ArrayList<>();
        boolean due = false;
        for (OwnedBatch batch : registry.batches()) {
            if (!mayWrite(batch)) {
                continue;
            }
            batchesToSave.add(batch);
            due |= saveTiming.isDue(batch, stopping, leftMillis(batch), context.nowNanos());
        }
        if (due) {
            save(SaveBundle.of(batchesToSave, !stopping, store));
        }
    }

    private boolean mayWrite(OwnedBatch batch) {
        return !writesInFlight.contains(batch)
                && !batch.isFinished()
                && batch.isRecorded()
                && !saveTiming.isHeldBack(batch.id(), context.nowNanos());
    }

    /** Returns whether a write of the batch's record is in flight. */
    boolean hasWriteInFlight(OwnedBatch batch) {
        return writesInFlight.contains(batch);
    }

    /**
     * Ends a batch on request of its caller.
     *
     * @param receiver gets true once the record is marked as ended, or false if another host owns the batch now
     */
    void end(OwnedBatch batch, Consumer<Boolean> receiver) {
        if (batch.record().ended()) {
            receiver.accept(true);
            return;
        }
        endReceivers.computeIfAbsent(batch.id(), key -> new ArrayList<>()).add(receiver);
        writeEndedRecord(batch);
    }

    /**
     * Handles the creation of the record of a batch that this host accepted without a record, since enough other hosts
     * held copies of the submission on disk. If the caller has asked to end the batch meanwhile, marks the record as
     * ended now.
     *
     * @return whether the batch has this record now; false if the record lists results of another copy of the batch
     */
    boolean onRecordCreated(OwnedBatch batch, BatchRecord record, long revision) {
        boolean bound = batch.bindRecord(record, revision);
        context.timeline()
                .event(EventKind.BATCH_RECORDED)
                .job(batch.id())
                .with("listed", record.listed())
                .with("revision", revision)
                .with("bound", bound)
                .write();
        if (bound && endReceivers.containsKey(batch.id())) {
            writeEndedRecord(batch);
        }
        return bound;
    }

    /**
     * Handles the loss of a batch that this host accepted without a record, since enough other hosts held copies of the
     * submission on disk: the record names another process as the owner or lists results of another copy of the batch, or there
     * is no record.
     */
    void onRecordedElsewhere(OwnedBatch batch, Optional<BatchStore.StoredRecord> found) {
        onOwnershipLost(batch, found);
    }

    /**
     * Handles a listed revision of an owned batch that is later than the one this host wrote: another process ended the
     * batch or took it over. A write of this host that is in flight detects the change itself.
     */
    void onRecordChanged(OwnedBatch batch, BatchStore.StoredRecord found) {
        if (!writesInFlight.contains(batch)) {
            onOwnershipLost(batch, Optional.of(found));
        }
    }

    private OptionalLong leftMillis(OwnedBatch batch) {
        OptionalLong dueAtMillis = routes.dueAtMillis(batch);
        return dueAtMillis.isEmpty()
                ? dueAtMillis
                : OptionalLong.of(dueAtMillis.getAsLong() - System.currentTimeMillis());
    }

    private void save(SaveBundle bundle) {
        writesInFlight.addAll(bundle.commits().keySet());
        bundle.commits().keySet().forEach(batch -> saveTiming.resetDelays(batch.id()));
        bundle.checkpoints().forEach(checkpoints -> saveTiming.resetDelays(checkpoints.id()));
        List<BatchStore.Commit> commits = List.copyOf(bundle.commits().values());
        context.onLoop(store.save(commits, bundle.checkpoints()), (result, failure) -> {
            boolean done = failure == null && result.succeeded();
            if (done) {
                bundle.markProgressSaved();
                bundle.commits().forEach((batch, commit) -> onCommitted(batch, commit, result.revision()));
            } else {
                bundle.commits().forEach(this::commitSeparately);
            }
            if (isRejected(failure)) {
                bundle.progressByBatch().forEach(this::saveProgress);
            }
            if (failure == null && !result.succeeded()) {
                bundle.checkpoints()
                        .forEach(checkpoints -> registry.find(checkpoints.id()).ifPresent(this::checkRecord));
            }
        });
    }

    /** Saves the progress of one batch, so that what the key-value store refuses of another one does not matter. */
    private void saveProgress(SaveBundle progress) {
        context.onLoop(store.save(List.of(), progress.checkpoints()), (result, failure) -> {
            if (failure == null && result.succeeded()) {
                progress.markProgressSaved();
            }
        });
    }

    private static boolean isRejected(Throwable failure) {
        return failure != null && ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.REJECTED;
    }

    /**
     * Reads the record of a batch whose progress write was refused. Another process may have ended the batch or taken
     * it over without notifying this host. Without this check, the items would keep running for nothing until the next
     * commit of a result.
     */
    private void checkRecord(OwnedBatch batch) {
        if (writesInFlight.contains(batch)) {
            return;
        }
        context.onLoop(store.readRecord(batch.id()), (found, failure) -> {
            if (failure != null) {
                return;
            }
            boolean changed = found.isEmpty() || found.get().revision() > batch.recordRevision();
            if (changed && !writesInFlight.contains(batch)) {
                onOwnershipLost(batch, found);
            }
        });
    }

    /** Commits one batch separately, so that neither the refusal of another batch nor an unanswered write delays it. */
    private void commitSeparately(OwnedBatch batch, BatchStore.Commit commit) {
        writer.write(
                commit.id(),
                commit.writeId(),
                () -> store.save(List.of(commit), List.of()),
                new RecordWriter.WriteListener() {
                    @Override
                    public void onWritten(long revision) {
                        onCommitted(batch, commit, revision);
                    }

                    @Override
                    public void onSuperseded(Optional<BatchStore.StoredRecord> found) {
                        onOwnershipLost(batch, found);
                    }

                    @Override
                    public void onRejected() {
                        onCommitRejected(batch, commit);
                    }
                });
    }

    /** Divides a commit that the key-value store refuses; a single result is tried again later. */
    private void onCommitRejected(OwnedBatch batch, BatchStore.Commit commit) {
        writesInFlight.remove(batch);
        boolean divided = batch.commitRejected();
        context.timeline()
                .event(EventKind.BATCH_COMMIT_REJECTED)
                .job(commit.id())
                .with("results", commit.results().size())
                .with(
                        "bytes",
                        commit.values().stream().mapToInt(value -> value.length).sum())
                .with("divided", divided)
                .write();
        if (!registry.holds(batch)) {
            return;
        }
        if (endReceivers.containsKey(commit.id())) {
            writeEndedRecord(batch);
        } else if (divided) {
            save(SaveBundle.of(List.of(batch), false, store));
        } else {
            saveTiming.rejected(commit.id(), context.nowNanos());
        }
    }

    private void onCommitted(OwnedBatch batch, BatchStore.Commit commit, long revision) {
        writesInFlight.remove(batch);
        batch.commitSucceeded(commit.record(), revision);
        context.timeline()
                .event(EventKind.BATCH_COMMITTED)
                .job(commit.id())
                .with("firstPosition", commit.firstPosition())
                .with("listed", commit.record().listed())
                .with("revision", revision)
                .with("items", commit.record().items())
                .with("leftMillis", leftMillis(batch).orElse(0))
                .write();
        if (!registry.holds(batch)) {
            return;
        }
        registry.notifyWaiters(commit.id());
        if (endReceivers.containsKey(commit.id())) {
            writeEndedRecord(batch);
        }
    }

    private void writeEndedRecord(OwnedBatch batch) {
        if (!batch.isRecorded() || !writesInFlight.add(batch)) {
            return;
        }
        BatchRecord ended = batch.record().asEnded();
        long revision = batch.recordRevision();
        WriteId writeId = store.newWriteId();
        writer.write(
                batch.id(),
                writeId,
                () -> store.replaceRecord(batch.id(), revision, ended, writeId),
                new RecordWriter.WriteListener() {
                    @Override
                    public void onWritten(long endedRevision) {
                        onEnded(batch, ended, endedRevision);
                    }

                    @Override
                    public void onSuperseded(Optional<BatchStore.StoredRecord> found) {
                        onOwnershipLost(batch, found);
                    }

                    @Override
                    public void onRejected() {
                        writesInFlight.remove(batch);
                        notifyEndReceivers(batch.id(), false);
                    }
                });
    }

    private void onEnded(OwnedBatch batch, BatchRecord ended, long revision) {
        writesInFlight.remove(batch);
        batch.endRecorded(ended, revision);
        context.timeline().event(EventKind.BATCH_ENDED).job(batch.id()).write();
        registry.notifyWaiters(batch.id());
        notifyEndReceivers(batch.id(), true);
    }

    private void onOwnershipLost(OwnedBatch batch, Optional<BatchStore.StoredRecord> found) {
        writesInFlight.remove(batch);
        String id = batch.id();
        boolean replaced = registry.find(id).isPresent() && !registry.holds(batch);
        if (replaced) {
            return;
        }
        registry.remove(batch);
        boolean ended = found.map(stored -> stored.record().ended()).orElse(true);
        context.timeline()
                .event(EventKind.BATCH_LOST)
                .job(id)
                .with("ended", ended)
                .with("owner", found.map(stored -> stored.record().owner()).orElse(""))
                .write();
        saveTiming.resetDelays(id);
        onLost.accept(id);
        notifyEndReceivers(id, ended);
    }

    private void notifyEndReceivers(String id, boolean ended) {
        List<Consumer<Boolean>> receivers = endReceivers.remove(id);
        if (receivers != null) {
            receivers.forEach(receiver -> receiver.accept(ended));
        }
    }
}
