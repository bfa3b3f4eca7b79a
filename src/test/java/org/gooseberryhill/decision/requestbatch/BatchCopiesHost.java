package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhill.decision.FakeKeyValue.Condition;
import org.gooseberryhill.decision.requestbatch.BatchCopiesModel.StoredRecord;
import org.gooseberryhill.decision.requestbatch.BatchCopiesModel.Written;

/** One host of a {@link BatchCopiesModel}: its copy of the batch, its writes that are not answered yet and its cached results. */
final class BatchCopiesHost {
    private static final int NO_LIMIT = 1_000_000;

    private final BatchCopiesModel model;
    private final String name;
    private final List<Write> pending = new ArrayList<>();
    private final List<OwnedBatch> inFlight = new ArrayList<>();
    private int process;
    private Optional<OwnedBatch> held = Optional.empty();
    private Optional<BatchRecord> takeover = Optional.empty();
    private Optional<Cached> cached = Optional.empty();

    BatchCopiesHost(BatchCopiesModel model, String name) {
        this.model = model;
        this.name = name;
    }

    /** Receives the batch from its caller, for the first time or again. */
    void submit() {
        if (held.isPresent() || takeover.isPresent()) {
            return;
        }
        BatchRecord record = BatchFixture.record(BatchCopiesModel.ITEMS, name, "p" + process);
        begin(new Write(
                Condition.absent(BatchCopiesModel.RECORD),
                record,
                Map.of(),
                true,
                revision -> onCreated(record, revision),
                this::onIdTaken));
    }

    /** Accepts a submission whose creation is not answered, since disks of other hosts have copies. */
    void acceptByCopies() {
        pending.stream().filter(write -> write.isCreation).findAny().ifPresent(write -> {
            write.confirmed = true;
            model.addDiskCopy(write.record);
            takeOwnership(write.record, 0);
        });
    }

    /** Refuses a submission whose creation is not answered, which may still take effect. */
    void abandonCreation() {
        pending.stream()
                .filter(write -> write.isCreation && !write.confirmed)
                .findAny()
                .ifPresent(Write::finish);
    }

    /** Finds the record in a list that may be old, and takes the batch over if it is another process's. */
    void scan(Optional<StoredRecord> listed) {
        listed.ifPresent(found -> {
            dropIfChangedElsewhere(found);
            if (found.record().isFinished() || held.isPresent() || takeover.isPresent()) {
                return;
            }
            if (isOwnedByThisProcess(found.record())) {
                loadIfOwned(found);
            } else {
                takeover = Optional.of(found.record());
                claim(found, taken -> {});
            }
        });
    }

    void runItem() {
        held.ifPresent(batch -> {
            List<ItemProgress> startable = batch.startableItems(0);
            if (startable.isEmpty()) {
                return;
            }
            ItemProgress item = startable.get(model.random.nextInt(startable.size()));
            batch.runStarted(item, BatchFixture.VERSION);
            item.appendEvent(Optional.of(1L), model.newText());
            batch.runEnded(item, model.random.nextInt(8) == 0 ? RunEnd.REJECTED : RunEnd.COMPLETED, 3, 0);
        });
    }

    void commit() {
        held.filter(this::mayWrite).filter(OwnedBatch::hasUncommitted).ifPresent(batch -> {
            List<ItemResult> results = batch.beginCommit(model.random.nextBoolean() ? 1 : NO_LIMIT);
            BatchRecord record = batch.record().withChunk(results.size());
            write(
                    batch,
                    record,
                    Map.of("results/" + batch.record().listed(), results),
                    revision -> batch.commitSucceeded(record, revision));
        });
    }

    /** Ends the batch for its caller, as its owner or in the store. */
    void end() {
        if (held.isPresent()) {
            held.filter(this::mayWrite).ifPresent(batch -> {
                batch.markEnding();
                BatchRecord ended = batch.record().asEnded();
                write(batch, ended, Map.of(), revision -> batch.endRecorded(ended, revision));
            });
            return;
        }
        model.endInStore();
    }

    void resend() {
        if (!pending.isEmpty()) {
            pending.get(model.random.nextInt(pending.size())).send();
        }
    }

    /** Hands the batch over, as a stopping host does. */
    void offerTo(BatchCopiesHost other) {
        held.filter(batch -> mayWrite(batch) && !batch.hasUncommitted() && other != this)
                .ifPresent(batch -> {
                    StoredRecord offered =
                            new StoredRecord(batch.record(), batch.recordRevision(), new WriteId("not passed on"));
                    Consumer<Boolean> onReply = taken -> {
                        if (taken) {
                            remove(batch);
                        }
                    };
                    other.arriving(() -> other.takeOver(offered, taken -> arriving(() -> onReply.accept(taken))));
                });
    }

    void showMemory() {
        held.ifPresent(batch -> model.show(batch.page(firstPosition(), NO_LIMIT)));
    }

    /** Serves the page that another host has in memory, which may have lost the batch by then. */
    void askOwner(BatchCopiesHost other) {
        other.held
                .map(batch -> batch.page(firstPosition(), NO_LIMIT))
                .ifPresent(page -> arriving(() -> model.show(page)));
    }

    /** Serves the results that were read before if they have the position, else those of a record, whose results are read after it. */
    void showStored(Optional<StoredRecord> found) {
        int first = firstPosition();
        Optional<Cached> usable = cached.filter(old -> old.record.isFinished() || old.results.size() > first);
        if (usable.isPresent()) {
            model.show(usable.get().page(first));
            return;
        }
        found.ifPresent(stored -> arriving(() -> {
            Cached fresh = new Cached(stored.record(), model.results(stored.record()));
            cached = Optional.of(fresh);
            model.show(fresh.page(first));
        }));
    }

    void restart() {
        process++;
        pending.clear();
        inFlight.clear();
        held = Optional.empty();
        takeover = Optional.empty();
        cached = Optional.empty();
    }

    private void takeOver(StoredRecord offered, Consumer<Boolean> receiver) {
        if (held.filter(batch -> batch.recordRevision() > offered.revision()).isPresent()) {
            receiver.accept(true);
            return;
        }
        dropIfChangedElsewhere(offered);
        if (held.isPresent() || takeover.isPresent()) {
            receiver.accept(false);
            return;
        }
        takeover = Optional.of(offered.record());
        claim(offered, receiver);
    }

    private void claim(StoredRecord stored, Consumer<Boolean> receiver) {
        BatchRecord claimed = stored.record().withOwner(name, "p" + process);
        begin(new Write(
                Condition.modifiedAt(BatchCopiesModel.RECORD, stored.revision()),
                claimed,
                Map.of(),
                false,
                revision -> {
                    receiver.accept(true);
                    load(claimed, revision);
                },
                found -> {
                    takeover = Optional.empty();
                    receiver.accept(false);
                }));
    }

    private void loadIfOwned(StoredRecord listed) {
        if (takeover.isPresent()) {
            return;
        }
        takeover = Optional.of(listed.record());
        Optional<Optional<StoredRecord>> read = model.read();
        later(() -> {
            Optional<StoredRecord> owned = read.flatMap(found -> found)
                    .filter(stored -> isOwnedByThisProcess(stored.record()))
                    .filter(stored -> !stored.record().isFinished() && held.isEmpty());
            if (owned.isPresent()) {
                load(owned.get().record(), owned.get().revision());
            } else {
                takeover = Optional.empty();
            }
        });
    }

    private void load(BatchRecord record, long revision) {
        later(() -> {
            takeover = Optional.empty();
            if (held.isEmpty()) {
                held = Optional.of(newBatch(record, revision, model.results(record)));
            }
        });
    }

    private void onCreated(BatchRecord record, long revision) {
        if (held.isEmpty()) {
            takeOwnership(record, revision);
        } else if (!held.get().isRecorded()) {
            held.get().bindRecord(record, revision);
        }
    }

    private void onIdTaken(Optional<StoredRecord> found) {
        Optional<StoredRecord> own = found.filter(stored -> isOwnedByThisProcess(stored.record()));
        Optional<OwnedBatch> accepted = held.filter(batch -> !batch.isRecorded());
        if (accepted.isPresent()) {
            boolean bound = own.filter(stored -> accepted.get().bindRecord(stored.record(), stored.revision()))
                    .isPresent();
            if (!bound) {
                remove(accepted.get());
                own.ifPresent(this::loadIfOwned);
            }
            return;
        }
        own.filter(stored -> !stored.record().isFinished() && stored.record().listed() == 0)
                .ifPresent(stored -> takeOwnership(stored.record(), stored.revision()));
    }

    private void takeOwnership(BatchRecord record, long revision) {
        if (takeover.isEmpty() && held.isEmpty()) {
            held = Optional.of(newBatch(record, revision, List.of()));
        }
    }

    private void dropIfChangedElsewhere(StoredRecord stored) {
        held.filter(batch ->
                        batch.isRecorded() && stored.revision() > batch.recordRevision() && !inFlight.contains(batch))
                .ifPresent(this::remove);
    }

    private boolean mayWrite(OwnedBatch batch) {
        return batch.isRecorded() && !batch.isFinished() && !inFlight.contains(batch);
    }

    private void remove(OwnedBatch batch) {
        held = held.filter(kept -> kept != batch);
    }

    private boolean isOwnedByThisProcess(BatchRecord record) {
        return record.owner().equals(name) && record.ownerStart().equals("p" + process);
    }

    private static OwnedBatch newBatch(BatchRecord record, long revision, List<ItemResult> results) {
        return new OwnedBatch("batch", record, revision, BatchFixture.items(BatchCopiesModel.ITEMS), results);
    }

    private int firstPosition() {
        return model.random.nextInt(3);
    }

    /** Runs an action of this process later, unless it has ended by then. */
    private void later(Runnable action) {
        int sender = process;
        model.later(() -> {
            if (process == sender) {
                action.run();
            }
        });
    }

    private void arriving(Runnable action) {
        if (!model.isMessageLost()) {
            later(action);
        }
    }

    private void write(OwnedBatch batch, BatchRecord record, Map<String, Object> values, Consumer<Long> onWritten) {
        inFlight.add(batch);
        begin(new Write(
                Condition.modifiedAt(BatchCopiesModel.RECORD, batch.recordRevision()),
                record,
                values,
                false,
                revision -> {
                    inFlight.remove(batch);
                    onWritten.accept(revision);
                },
                found -> {
                    inFlight.remove(batch);
                    remove(batch);
                }));
    }

    private void begin(Write write) {
        pending.add(write);
        write.send();
    }

    /** A record and its results as read from the store. */
    private record Cached(BatchRecord record, List<ItemResult> results) {
        BatchPage page(int first) {
            return BatchPage.of(record.items(), first, results, NO_LIMIT);
        }
    }

    /** A write that is sent unchanged, also while earlier sends are not answered, until its outcome is known. */
    private final class Write {
        private final Condition condition;
        private final BatchRecord record;
        private final Map<String, Object> values;
        private final boolean isCreation;
        private final Consumer<Long> onWritten;
        private final Consumer<Optional<StoredRecord>> onSuperseded;
        private final WriteId id = model.newWriteId();
        private final RecordWrite decision = new RecordWrite(id);
        private boolean confirmed;
        private boolean finished;

        Write(
                Condition condition,
                BatchRecord record,
                Map<String, Object> values,
                boolean isCreation,
                Consumer<Long> onWritten,
                Consumer<Optional<StoredRecord>> onSuperseded) {
            this.condition = condition;
            this.record = record;
            this.values = values;
            this.isCreation = isCreation;
            this.onWritten = onWritten;
            this.onSuperseded = onSuperseded;
        }

        void send() {
            Map<String, Object> all = new HashMap<>(values);
            all.put(BatchCopiesModel.RECORD, new Written(record, id));
            Optional<Boolean> answer = model.store.write(List.of(condition), all);
            long revision = model.latest().map(StoredRecord::revision).orElse(0L);
            answer.ifPresent(succeeded -> later(() -> onAnswer(succeeded, revision)));
        }

        void finish() {
            finished = true;
            pending.remove(this);
        }

        private void onAnswer(boolean succeeded, long revision) {
            if (finished) {
                return;
            }
            if (decision.written(succeeded) == RecordWrite.Step.DONE) {
                finish();
                onWritten.accept(revision);
            } else {
                model.read().ifPresent(found -> later(() -> onRead(found)));
            }
        }

        private void onRead(Optional<StoredRecord> found) {
            if (finished) {
                return;
            }
            finish();
            if (decision.read(found.map(StoredRecord::writeId)) == RecordWrite.Step.DONE) {
                onWritten.accept(found.orElseThrow().revision());
            } else {
                onSuperseded.accept(found);
            }
        }
    }
}
