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

    BatchOwnershipModel(Random random, int faultPercent) {
        this.random = random;
        this.store = new FakeKeyValue<>(random, faultPercent);
        BatchRecord record = BatchFixture.record(ITEMS, "a", "1");
        while (store.peek(RECORD).isEmpty()) {
            store.write(List.of(Condition.absent(RECORD)), Map.of(RECORD, record));
        }
    }

    void step() {
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        switch (random.nextInt(8)) {
            case 0 -> host.takeOver();
            case 1, 2, 3 -> host.runItem();
            case 4, 5 -> host.commit();
            case 6 -> store.applyDelayedWrite();
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
        return (BatchRecord) store.peek(RECORD).orElseThrow().value();
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
            process++;
            beginWrite(
                    ((BatchRecord) stored.value()).withOwner(name, "p" + process),
                    stored.modRevision(),
                    List.of(),
                    false);
        }

        void runItem() {
            batch.ifPresent(
                    owned -> owned.startableItems(0).stream().findFirst().ifPresent(item -> {
                        // Runs of the same item on another host produce the same events.
                        BatchFixture.run(owned, item, 2);
                    }));
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
            pendingWrite = Optional.of(new RecordWrite(record));
            sendWrite();
        }

        private void sendWrite() {
            Map<String, Object> writes = new HashMap<>();
            writes.put(RECORD, intended);
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
            Optional<BatchRecord> found = read.get().map(stored -> (BatchRecord) stored.value());
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
            boolean superseded = !record().equals(intended);
            if (superseded) {
                // Another host has taken the batch over since; this host learns of it at its next write.
                revision = expectedRevision;
            }
            if (writesResults) {
                batch.orElseThrow().commitSucceeded(intended, revision);
            } else if (!superseded) {
                batch = Optional.of(
                        new OwnedBatch("batch", intended, revision, BatchFixture.items(ITEMS), committed(intended)));
            }
        }
    }
}
