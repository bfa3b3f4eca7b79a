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
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Commits results of owned batches to the key-value store, which makes them readable, and checkpoints the progress of
 * open items. Confined to the control thread.
 *
 * <p>Invariants: at most one write of a batch's record is in flight; a result becomes readable only after the write
 * that contains it; an unanswered write is repeated unchanged until the record shows whether it took effect. A commit
 * whose record was changed by another process is not repeated: the batch has another owner, or was ended.
 */
final class BatchCommitter {
    private final GatewayContext context;
    private final BatchStore store;
    private final RecordWriter writer;
    private final BatchBoard board;
    private final BatchRoutes routes;
    private final Consumer<String> onLost;
    private final SaveTiming timing = new SaveTiming();
    private final Map<String, List<Consumer<Boolean>>> endings = new HashMap<>();
    private final Set<String> writing = new HashSet<>();

    BatchCommitter(
            GatewayContext context, BatchStore store, BatchBoard board, BatchRoutes routes, Consumer<String> onLost) {
        this.context = context;
        this.store = store;
        this.writer = new RecordWriter(context, store);
        this.board = board;
        this.routes = routes;
        this.onLost = onLost;
    }

    /** Writes results and progress that are due. Called often. */
    void tick(boolean stopping) {
        List<OwnedBatch> idle = new ArrayList<>();
        boolean due = false;
        for (OwnedBatch batch : board.batches()) {
            if (writing.contains(batch.id()) || batch.isFinished() || !batch.isRecorded()) {
                continue;
            }
            idle.add(batch);
            due |= timing.isDue(batch, stopping, leftMillis(batch), context.nowNanos());
        }
        if (due) {
            save(SaveBundle.of(idle, !stopping));
        }
    }

    /** Returns whether a write of the batch's record is in flight. */
    boolean isWriting(String id) {
        return writing.contains(id);
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
        endings.computeIfAbsent(batch.id(), key -> new ArrayList<>()).add(receiver);
        writeEnding(batch);
    }

    /** Handles the creation of the record of a batch that was accepted by copies on disks. */
    void recorded(OwnedBatch batch, BatchRecord record, long revision) {
        batch.recordChanged(record, revision);
        if (endings.containsKey(batch.id())) {
            writeEnding(batch);
        }
    }

    /**
     * Handles the loss of a batch that this host accepted by copies on disks: its record names another process, or
     * there is no record.
     */
    void recordedElsewhere(String id, Optional<BatchStore.Stored> found) {
        lost(id, found);
    }

    /**
     * Handles a listed revision of an owned batch that is later than the one this host wrote: another process ended the
     * batch or took it over. A write of this host that is in flight detects the change itself.
     */
    void changedElsewhere(BatchStore.Stored found) {
        if (!writing.contains(found.id())) {
            lost(found.id(), Optional.of(found));
        }
    }

    private OptionalLong leftMillis(OwnedBatch batch) {
        OptionalLong dueAtMillis = routes.dueAtMillis(batch);
        return dueAtMillis.isEmpty()
                ? dueAtMillis
                : OptionalLong.of(dueAtMillis.getAsLong() - System.currentTimeMillis());
    }

    private void save(SaveBundle bundle) {
        bundle.commits().forEach(commit -> writing.add(commit.id()));
        bundle.commits().forEach(commit -> timing.sent(commit.id()));
        bundle.progress().forEach(progress -> timing.sent(progress.id()));
        context.onLoop(store.save(bundle.commits(), bundle.progress()), (result, failure) -> {
            boolean done = failure == null && result.succeeded();
            if (done) {
                bundle.progressSaved();
            }
            for (BatchStore.Commit commit : bundle.commits()) {
                if (done) {
                    committed(commit, result.revision());
                } else {
                    commitAlone(commit);
                }
            }
            if (failure == null && !result.succeeded()) {
                bundle.progress().forEach(progress -> checkRecord(progress.id()));
            }
        });
    }

    /**
     * Reads the record of a batch whose progress write was refused. Another process may have ended the batch or taken
     * it over without notifying this host; as long as no result is to be committed, its items would go on running in
     * vain.
     */
    private void checkRecord(String id) {
        if (writing.contains(id)) {
            return;
        }
        context.onLoop(store.read(id), (found, failure) -> {
            Optional<OwnedBatch> owned = board.find(id);
            if (failure != null || owned.isEmpty()) {
                return;
            }
            boolean changed =
                    found.isEmpty() || found.get().revision() > owned.get().recordRevision();
            if (changed && !writing.contains(id)) {
                lost(id, found);
            }
        });
    }

    /** Commits one batch separately, so that neither the refusal of another batch nor an unanswered write delays it. */
    private void commitAlone(BatchStore.Commit commit) {
        writer.write(
                commit.id(), commit.record(), () -> store.save(List.of(commit), List.of()), new RecordWriter.Result() {
                    @Override
                    public void done(long revision) {
                        committed(commit, revision);
                    }

                    @Override
                    public void superseded(Optional<BatchStore.Stored> found) {
                        lost(commit.id(), found);
                    }
                });
    }

    private void committed(BatchStore.Commit commit, long revision) {
        writing.remove(commit.id());
        board.find(commit.id()).ifPresent(batch -> {
            batch.commitSucceeded(commit.record(), revision);
            context.timeline()
                    .event(EventKind.BATCH_COMMITTED)
                    .job(commit.id())
                    .with("listed", commit.record().listed())
                    .with("items", commit.record().items())
                    .with("leftMillis", leftMillis(batch).orElse(0))
                    .write();
            board.wake(commit.id());
            if (endings.containsKey(commit.id())) {
                writeEnding(batch);
            }
        });
    }

    private void writeEnding(OwnedBatch batch) {
        if (!batch.isRecorded() || !writing.add(batch.id())) {
            return;
        }
        BatchRecord ended = batch.record().asEnded();
        writer.write(
                batch.id(),
                ended,
                () -> store.replace(batch.id(), batch.recordRevision(), ended),
                new RecordWriter.Result() {
                    @Override
                    public void done(long revision) {
                        ended(batch, ended, revision);
                    }

                    @Override
                    public void superseded(Optional<BatchStore.Stored> found) {
                        lost(batch.id(), found);
                    }
                });
    }

    private void ended(OwnedBatch batch, BatchRecord ended, long revision) {
        writing.remove(batch.id());
        batch.recordChanged(ended, revision);
        context.timeline().event(EventKind.BATCH_ENDED).job(batch.id()).write();
        board.wake(batch.id());
        answerEndings(batch.id(), true);
    }

    private void lost(String id, Optional<BatchStore.Stored> found) {
        writing.remove(id);
        boolean ended = found.map(stored -> stored.record().ended()).orElse(true);
        context.timeline()
                .event(EventKind.BATCH_LOST)
                .job(id)
                .with("ended", ended)
                .with("owner", found.map(stored -> stored.record().owner()).orElse(""))
                .write();
        timing.sent(id);
        board.drop(id);
        onLost.accept(id);
        answerEndings(id, ended);
    }

    private void answerEndings(String id, boolean ended) {
        List<Consumer<Boolean>> receivers = endings.remove(id);
        if (receivers != null) {
            receivers.forEach(receiver -> receiver.accept(ended));
        }
    }
}
