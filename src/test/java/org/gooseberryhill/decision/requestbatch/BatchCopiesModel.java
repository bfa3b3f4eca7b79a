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
 * Models all ways by which a process comes by a copy of a batch, and all places from which a page of results is served, on a
 * key-value store that loses answers, applies writes late or never and lists records that are old. Answers and messages arrive
 * late and in any order, and any host may count any owner as lost. Each run of an item has a text of its own, so that a result
 * that is run again shows.
 */
final class BatchCopiesModel {
    static final String RECORD = "record";
    static final int ITEMS = 6;
    private static final int MAX_STALE_VERSIONS = 4;
    private static final int CALM_ROUNDS = 400;

    final Random random;
    final FakeKeyValue<Object> store;
    private final List<BatchCopiesHost> hosts = new ArrayList<>();
    private final List<Runnable> onTheWay = new ArrayList<>();
    private final List<StoredRecord> versions = new ArrayList<>();
    private final List<BatchRecord> diskCopies = new ArrayList<>();
    private final Map<Integer, ItemResult> shown = new HashMap<>();
    private boolean calm;
    private int writes;
    private int runs;
    private int pagesShown;

    BatchCopiesModel(Random random, int faultPercent) {
        this.random = random;
        this.store = new FakeKeyValue<>(random, faultPercent);
        for (String name : List.of("a", "b", "c")) {
            hosts.add(new BatchCopiesHost(this, name));
        }
        hosts.get(0).submit();
    }

    void step() {
        BatchCopiesHost host = anyHost();
        switch (random.nextInt(50)) {
            case 0, 1 -> host.submit();
            case 2 -> host.acceptByCopies();
            case 3 -> host.abandonCreation();
            case 4 -> createFromDisk();
            case 5, 6 -> host.scan(anyVersion());
            case 7, 8, 9, 10, 11, 12, 13 -> host.runItem();
            case 14, 15, 16, 17, 18, 19 -> host.commit();
            case 20, 21, 22, 23 -> host.resend();
            case 24 -> host.offerTo(anyHost());
            case 25, 26 -> store.applyDelayedWrite();
            case 27, 28 -> host.showMemory();
            case 29, 30 -> host.askOwner(anyHost());
            case 31, 32, 33 -> host.showStored(anyVersion());
            case 34 -> restartRarely(host);
            case 35 -> endRarely(host);
            default -> arrive();
        }
        rememberVersion();
    }

    /** Lets one host finish the batch, and every host show it. */
    void finish() {
        calm = true;
        while (!onTheWay.isEmpty()) {
            arrive();
        }
        BatchCopiesHost last = hosts.get(0);
        for (int i = 0; i < CALM_ROUNDS && !isFinished(); i++) {
            last.submit();
            last.scan(latest());
            last.runItem();
            last.commit();
            last.resend();
            store.applyDelayedWrite();
            rememberVersion();
        }
        hosts.forEach(BatchCopiesHost::showMemory);
        hosts.forEach(host -> host.showStored(latest()));
    }

    boolean isFinished() {
        return latest().map(stored -> stored.record.isFinished()).orElse(false);
    }

    Map<Integer, ItemResult> shown() {
        return shown;
    }

    int pagesShown() {
        return pagesShown;
    }

    /** Compares a page with all that callers have read before. */
    void show(BatchPage page) {
        pagesShown += page.results().isEmpty() ? 0 : 1;
        for (int i = 0; i < page.results().size(); i++) {
            ItemResult result = page.results().get(i);
            ItemResult earlier = shown.putIfAbsent(page.after() + i, result);
            assertThat(result).isEqualTo(earlier == null ? result : earlier);
        }
    }

    /** Runs an action later, and in any order with others, as answers and messages arrive. */
    void later(Runnable action) {
        if (calm || random.nextInt(3) == 0) {
            action.run();
        } else {
            onTheWay.add(action);
        }
    }

    boolean isMessageLost() {
        return !calm && random.nextInt(6) == 0;
    }

    WriteId newWriteId() {
        return new WriteId(Integer.toString(++writes));
    }

    String newText() {
        return "run " + ++runs;
    }

    void addDiskCopy(BatchRecord record) {
        diskCopies.add(record);
    }

    /** Ends the batch for its caller without its owner. */
    void endInStore() {
        latest().ifPresent(stored -> store.write(
                List.of(Condition.modifiedAt(RECORD, stored.revision)),
                Map.of(RECORD, new Written(stored.record.asEnded(), newWriteId()))));
    }

    /** Reads the record; empty if the answer is lost, and empty within that if there is none. */
    Optional<Optional<StoredRecord>> read() {
        return store.read(RECORD).map(found -> found.map(BatchCopiesModel::decode));
    }

    Optional<StoredRecord> latest() {
        return store.peek(RECORD).map(BatchCopiesModel::decode);
    }

    /** Reads the results that a record lists. */
    @SuppressWarnings("unchecked")
    List<ItemResult> results(BatchRecord record) {
        List<ItemResult> results = new ArrayList<>();
        for (int number : record.chunks()) {
            results.addAll((List<ItemResult>)
                    store.peek("results/" + number).orElseThrow().value());
        }
        return results;
    }

    private BatchCopiesHost anyHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    /** Returns the record as listed: the latest version or one that is some changes old. */
    private Optional<StoredRecord> anyVersion() {
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        int oldest = Math.max(0, versions.size() - MAX_STALE_VERSIONS);
        return Optional.of(versions.get(oldest + random.nextInt(versions.size() - oldest)));
    }

    private void rememberVersion() {
        Optional<StoredRecord> latest = latest();
        boolean changed = latest.isPresent()
                && (versions.isEmpty() || versions.get(versions.size() - 1).revision < latest.get().revision);
        if (changed) {
            versions.add(latest.get());
        }
    }

    private void arrive() {
        if (!onTheWay.isEmpty()) {
            onTheWay.remove(random.nextInt(onTheWay.size())).run();
        }
    }

    private void createFromDisk() {
        if (!diskCopies.isEmpty()) {
            BatchRecord copy = diskCopies.get(random.nextInt(diskCopies.size()));
            store.write(List.of(Condition.absent(RECORD)), Map.of(RECORD, new Written(copy, newWriteId())));
        }
    }

    private void restartRarely(BatchCopiesHost host) {
        switch (random.nextInt(10)) {
            case 0 -> hosts.forEach(BatchCopiesHost::restart);
            case 1, 2 -> host.restart();
            default -> {
                // Hosts mostly go on.
            }
        }
    }

    private void endRarely(BatchCopiesHost host) {
        if (random.nextInt(40) == 0) {
            host.end();
        }
    }

    private static StoredRecord decode(Stored<Object> stored) {
        Written written = (Written) stored.value();
        return new StoredRecord(written.record, stored.modRevision(), written.writeId);
    }

    /** A record as it stands in the store, with the id of the write that stored it. */
    record Written(BatchRecord record, WriteId writeId) {}

    /** A record as read from the store. */
    record StoredRecord(BatchRecord record, long revision, WriteId writeId) {}
}
