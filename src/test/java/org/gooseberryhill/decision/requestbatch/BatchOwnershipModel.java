package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.gooseberryhill.decision.FakeKeyValue;
import org.gooseberryhill.decision.FakeKeyValue.Condition;
import org.gooseberryhill.decision.FakeKeyValue.Stored;

/**
 * Models a batch and two hosts that may both believe they own it, on a key-value store that loses answers and that
 * applies writes late or never. Records the result that a host first returned at each position of the batch's list of
 * results, and compares it with all results that hosts return at that position later.
 */
final class BatchOwnershipModel {
    private static final String RECORD = "record";
    private static final int ITEMS = 6;
    private static final int NO_LIMIT = 1_000_000;

    private final FakeKeyValue<Object> store;
    private final Random random;
    private final List<SimulatedHost> hosts = List.of(new SimulatedHost("a"), new SimulatedHost("b"));
    private final Map<Integer, String> shownIdsByPosition = new HashMap<>();
    private int writes;

    BatchOwnershipModel(Random random, int faultPercent) {
        this.random = random;
        this.store = new FakeKeyValue<>(random, faultPercent);
        BatchRecord record = BatchFixture.record(ITEMS, "a", "1");
        while (store.peek(RECORD).isEmpty()) {
            store.write(List.of(Condition.absent(RECORD)), Map.of(RECORD, new WrittenRecord(record, newWriteId())));
        }
    }

    void step() {
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        switch (random.nextInt(20)) {
            case 0, 1, 2 -> host.takeOver();
            case 3, 4, 5, 6, 7, 8 -> host.runItem();
            case 9, 10, 11, 12, 13 -> host.commit();
            case 14, 15 -> store.applyDelayedWrite();
            case 16 -> host.forget();
            case 17 -> host.restart();
            default -> host.show();
        }
    }

    /** Lets one host finish the batch while the other one is idle. */
    void finish() {
        for (int i = 0; i < 200 && !record().isFinished(); i++) {
            hosts.get(0).takeOver();
            hosts.get(0).runItem();
            hosts.get(0).commit();
            store.applyDelayedWrite();
        }
        hosts.get(0).show();
    }

    BatchRecord record() {
        return writtenRecord().record;
    }

    private WrittenRecord writtenRecord() {
        return (WrittenRecord) store.peek(RECORD).orElseThrow().value();
    }

    private WriteId newWriteId() {
        return new WriteId(Integer.toString(++writes));
    }

    Map<Integer, String> shownIdsByPosition() {
        return shownIdsByPosition;
    }

    @SuppressWarnings("unchecked")
    private List<ItemResult> committed(BatchRecord record) {
        List<ItemResult> results = new ArrayList<>();
        for (int firstPosition : record.chunks()) {
            results.addAll((List<ItemResult>)
                    store.peek("results/" + firstPosition).orElseThrow().value());
        }
        return results;
    }

    /** The state of the batch as one host sees it. */
    private final class SimulatedHost {
        private final String name;
        private int process;
        private Optional<OwnedBatch> batch = Optional.empty();
        private Optional<RecordWrite> pendingWrite = Optional.empty();
        private WriteId writeId;
        private BatchRecord intended;
        private List<ItemResult> results = List.of();
        private boolean writesResults;
        private long expectedRevision;

        SimulatedHost(String name) {
            this.name = name;
        }

        void takeOver() {
            if (batch.isPresent() || pendingWrite.isPresent() || record().isFinished()) {
                return;
            }
            Optional<Optional<Stored<Object>>> read = store.read(RECORD);
            if (read.isEmpty()) {
                return;
            }
            Stored<Object> stored = read.get().orElseThrow();
            BatchRecord record = ((WrittenRecord) stored.value()).record;
            boolean ownedByThisProcess =
                    record.owner().equals(name) && record.ownerStart().equals("p" + process);
            if (ownedByThisProcess) {
                load(record, stored.modRevision());
                return;
            }
            beginWrite(record.withOwner(name, "p" + process), stored.modRevision(), List.of(), false);
        }

        /** Loses the batch, but not the writes of it that are on the way, which may still take effect. */
        void forget() {
            batch = Optional.empty();
            pendingWrite = Optional.empty();
        }

        void restart() {
            forget();
            process++;
        }

        private void load(BatchRecord record, long revision) {
            batch = Optional.of(
                    new OwnedBatch("batch", record, revision, BatchFixture.items(ITEMS), committed(record)));
        }

        void runItem() {
            batch.ifPresent(owned -> {
                List<ItemProgress> startable = owned.startableItems(0);
                if (!startable.isEmpty()) {
                    // Runs of the same item on another host produce the same events.
                    BatchFixture.run(owned, startable.get(random.nextInt(startable.size())), 2);
                }
            });
        }

        void commit() {
            if (pendingWrite.isPresent()) {
                sendWrite();
            } else if (batch.isPresent() && batch.get().hasUncommitted()) {
                List<ItemResult> chunk = batch.get().beginCommit(NO_LIMIT);
                beginWrite(
                        batch.get().record().withChunk(chunk.size()),
                        batch.get().recordRevision(),
                        chunk,
                        true);
            }
        }

        void show() {
            batch.ifPresent(owned -> {
                List<ItemResult> page = owned.page(0, NO_LIMIT).results();
                for (int position = 0; position < page.size(); position++) {
                    String earlierId = shownIdsByPosition.putIfAbsent(
                            position, page.get(position).id());
                    assertThat(earlierId).isIn(null, page.get(position).id());
                }
            });
        }

        private void beginWrite(BatchRecord record, long revision, List<ItemResult> chunk, boolean isCommit) {
            intended = record;
            results = chunk;
            writesResults = isCommit;
            expectedRevision = revision;
            writeId = newWriteId();
            pendingWrite = Optional.of(new RecordWrite(writeId));
            sendWrite();
        }

        private void sendWrite() {
            Map<String, Object> writes = new HashMap<>();
            writes.put(RECORD, new WrittenRecord(intended, writeId));
            if (writesResults) {
                writes.put("results/" + batch.orElseThrow().record().listed(), results);
            }
            Optional<Boolean> answer = store.write(List.of(Condition.modifiedAt(RECORD, expectedRevision)), writes);
            if (answer.isEmpty()) {
                assertThat(pendingWrite.orElseThrow().writeUnanswered()).isEqualTo(RecordWrite.Step.WRITE);
                return;
            }
            if (pendingWrite.orElseThrow().written(answer.get()) == RecordWrite.Step.DONE) {
                finishWrite();
                return;
            }
            Optional<Optional<Stored<Object>>> read = store.read(RECORD);
            if (read.isEmpty()) {
                return;
            }
            Optional<WriteId> found = read.get().map(stored -> ((WrittenRecord) stored.value()).writeId);
            if (pendingWrite.orElseThrow().read(found) == RecordWrite.Step.DONE) {
                finishWrite();
            } else {
                pendingWrite = Optional.empty();
                batch = Optional.empty();
            }
        }

        private void finishWrite() {
            pendingWrite = Optional.empty();
            long revision = store.peek(RECORD).orElseThrow().modRevision();
            boolean superseded = !writtenRecord().writeId.equals(writeId);
            if (superseded) {
                // Another host has taken the batch over since; this host learns of it at its next write.
                revision = expectedRevision;
            }
            if (writesResults) {
                batch.orElseThrow().commitSucceeded(intended, revision);
            } else if (!superseded) {
                load(intended, revision);
            }
        }
    }

    /** A record as it stands in the store, with the id of the write that stored it. */
    private record WrittenRecord(BatchRecord record, WriteId writeId) {}
}
