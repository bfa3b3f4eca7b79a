package org.gooseberryhill.stored;

import io.vavr.Lazy;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.dialect.BatchDialect;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.logging.LazyLoggers;

/**
 * Reads and writes request batches in the key-value store: records, items, checkpoints and committed results.
 * Thread-safe.
 */
public final class BatchStore {
    private static final Lazy<Logger> LOG = LazyLoggers.of(BatchStore.class);
    private static final int BASE64_INPUT_BYTES = 3;
    private static final int BASE64_OUTPUT_BYTES = 4;

    /** The store accepts at most 32 entries in one transaction, and the condition is one of them. */
    private static final int MAX_DELETIONS_PER_TRANSACTION = 31;

    private final PollingKeyValueStore store;
    private final BatchDialect dialect;
    private final String processStart;
    private final int maxValueBytes;
    private final AtomicLong writes = new AtomicLong();
    /** Revisions of the records that were logged as unreadable, by key. */
    private final Map<String, Long> loggedUnreadable = new ConcurrentHashMap<>();

    /**
     * Creates an accessor for a store.
     *
     * @param dialect parses the items of a batch
     * @param processStart id that distinguishes this process from all others
     * @param valueLimitBytes size of the largest value that the store takes
     */
    public BatchStore(PollingKeyValueStore store, BatchDialect dialect, String processStart, int valueLimitBytes) {
        this.store = store;
        this.dialect = dialect;
        this.processStart = processStart;
        this.maxValueBytes = valueLimitBytes / BASE64_OUTPUT_BYTES * BASE64_INPUT_BYTES;
    }

    /** Returns the size up to which values are filled: also their base64 text stays within the store's limit. */
    public int maxValueBytes() {
        return maxValueBytes;
    }

    /** Returns an id for a write that has not been sent before. */
    public WriteId newWriteId() {
        return new WriteId(processStart + "-" + Long.toHexString(writes.incrementAndGet()));
    }

    /** Returns the number of values that a body is split into. */
    public int countBodyParts(byte[] body) {
        return Math.max(1, divideUp(body.length, maxValueBytes));
    }

    /**
     * Creates a batch, that is its record and all its items, in one transaction that succeeds only if the id is unused.
     */
    public CompletableFuture<KeyValueStore.WriteResult> create(
            String id, BatchRecord record, byte[] body, WriteId writeId) {
        Transaction.Builder transaction = Transaction.builder()
                .ifRevisionIs(StoredKeys.batch(id), 0)
                .put(StoredKeys.batch(id), StoredValueCodec.write(record, writeId));
        // The number of parts is the record's: the host that counted them may know another limit than this one.
        int partBytes = divideUp(body.length, record.bodyParts());
        for (int part = 0; part < record.bodyParts(); part++) {
            int from = Math.min(body.length, part * partBytes);
            byte[] value = Arrays.copyOfRange(body, from, Math.min(body.length, from + partBytes));
            transaction.put(StoredKeys.body(id, part), value);
        }
        return store.write(transaction.build());
    }

    /** Reads a batch's record and its revision; empty if there is no such batch. */
    public CompletableFuture<Optional<StoredRecord>> readRecord(String id) {
        return store.read(StoredKeys.batch(id))
                .thenApply(result -> result.first().map(entry -> decodeRecord(id, entry.value(), entry.modRevision())));
    }

    /** Reads the entry of a live host; empty if there is no entry or it can't be decoded. */
    public CompletableFuture<Optional<Host>> readHost(HostId id) {
        return store.read(StoredKeys.host(id.value()))
                .thenApply(result -> result.first()
                        .flatMap(entry ->
                                StoredValueCodec.readHost(entry.value()).toJavaOptional())
                        .map(ListedHost::host));
    }

    /**
     * Lists the records of all batches, except those that can't be decoded; each of these is logged once.
     *
     * @param mayBeStale whether the list may be seconds old, which costs the store less
     */
    public CompletableFuture<List<StoredRecord>> listRecords(boolean mayBeStale) {
        return store.list(StoredKeys.BATCHES, mayBeStale).thenApply(listing -> {
            List<StoredRecord> records = new ArrayList<>();
            for (KeyChange entry : listing.entries()) {
                String id = entry.key().substring(StoredKeys.BATCHES.length());
                Try.of(() -> decodeRecord(id, entry.value().orElseThrow(), entry.revision()))
                        .onSuccess(records::add)
                        .onFailure(failure -> logUnreadable(entry, failure));
            }
            return records;
        });
    }

    private void logUnreadable(KeyChange entry, Throwable failure) {
        Long loggedRevision = loggedUnreadable.put(entry.key(), entry.revision());
        if (loggedRevision == null || loggedRevision != entry.revision()) {
            LOG.get().warn("the record {} can't be read: {}", entry.key(), failure.getMessage());
        }
    }

    /**
     * Replaces a record if it still has the given revision. If the batch is finished, deletes its checkpoints in the
     * same transaction.
     */
    public CompletableFuture<KeyValueStore.WriteResult> replaceRecord(
            String id, long revision, BatchRecord record, WriteId writeId) {
        Transaction.Builder transaction = Transaction.builder()
                .ifRevisionIs(StoredKeys.batch(id), revision)
                .put(StoredKeys.batch(id), StoredValueCodec.write(record, writeId));
        if (record.isFinished()) {
            transaction.delete(StoredKeys.checkpoints(id));
        }
        return store.write(transaction.build());
    }

    /**
     * Saves the results and checkpoints of several batches in one transaction, on condition that the record of each
     * batch still has its revision.
     */
    public CompletableFuture<KeyValueStore.WriteResult> save(List<Commit> commits, List<Checkpoints> allCheckpoints) {
        Transaction.Builder transaction = Transaction.builder();
        for (Commit commit : commits) {
            transaction
                    .ifRevisionIs(StoredKeys.batch(commit.id), commit.revision)
                    .put(StoredKeys.batch(commit.id), StoredValueCodec.write(commit.record, commit.writeId));
            List<Integer> chunks = commit.record.chunks();
            int firstChunk = chunks.size() - commit.values.size();
            for (int value = 0; value < commit.values.size(); value++) {
                transaction.put(
                        StoredKeys.results(commit.id, chunks.get(firstChunk + value)), commit.values.get(value));
            }
            if (commit.record.isFinished()) {
                transaction.delete(StoredKeys.checkpoints(commit.id));
            }
        }
        for (Checkpoints checkpoints : allCheckpoints) {
            if (commits.stream().noneMatch(commit -> commit.id.equals(checkpoints.id))) {
                transaction.ifRevisionIs(StoredKeys.batch(checkpoints.id), checkpoints.revision);
            }
            transaction.put(
                    StoredKeys.checkpoints(checkpoints.id), StoredValueCodec.writeCheckpoints(checkpoints.items));
        }
        return store.write(transaction.build());
    }

    /**
     * Deletes all keys of a batch if its record still has its revision, else returns false. Deletes results first and
     * the record last, since all transactions depend on the record's revision.
     */
    public CompletableFuture<Boolean> delete(StoredRecord stored) {
        List<String> keys = new ArrayList<>();
        stored.record().chunks().forEach(position -> keys.add(StoredKeys.results(stored.id(), position)));
        keys.add(StoredKeys.checkpoints(stored.id()));
        for (int part = 0; part < stored.record().bodyParts(); part++) {
            keys.add(StoredKeys.body(stored.id(), part));
        }
        keys.add(StoredKeys.batch(stored.id()));
        return delete(stored, keys, 0);
    }

    private CompletableFuture<Boolean> delete(StoredRecord stored, List<String> keys, int from) {
        if (from >= keys.size()) {
            return CompletableFuture.completedFuture(true);
        }
        int to = Math.min(keys.size(), from + MAX_DELETIONS_PER_TRANSACTION);
        Transaction.Builder transaction =
                Transaction.builder().ifRevisionIs(StoredKeys.batch(stored.id()), stored.revision());
        keys.subList(from, to).forEach(transaction::delete);
        return store.write(transaction.build())
                .thenCompose(result ->
                        result.succeeded() ? delete(stored, keys, to) : CompletableFuture.completedFuture(false));
    }

    /** Reads the latest saved checkpoints of a batch's open items; empty if none are saved. */
    public CompletableFuture<List<ItemCheckpoint>> readCheckpoints(String id) {
        String key = StoredKeys.checkpoints(id);
        return store.read(key)
                .thenApply(result -> result.first()
                        .map(entry -> requireDecoded(key, StoredValueCodec.readCheckpoints(entry.value())))
                        .orElse(List.of()));
    }

    /** Loads a batch for its owner: its items and all its committed results. */
    public CompletableFuture<OwnedBatch> load(StoredRecord stored) {
        BatchRecord record = stored.record();
        return readItems(stored.id(), record)
                .thenCombine(
                        readResults(stored.id(), record),
                        (items, results) -> new OwnedBatch(stored.id(), record, stored.revision(), items, results));
    }

    /** Reads all items of a batch. */
    public CompletableFuture<List<BatchItem>> readItems(String id, BatchRecord record) {
        return readParts(id, record, 0, new ByteArrayOutputStream())
                .thenApply(body -> dialect.parseItems(body)
                        .getOrElseThrow(findings ->
                                new ExternalServiceException("items of batch " + id + " are invalid: " + findings)));
    }

    /** Reads all committed results of a batch. */
    public CompletableFuture<List<ItemResult>> readResults(String id, BatchRecord record) {
        return readChunks(id, record, 0, new ArrayList<>());
    }

    private CompletableFuture<List<ItemResult>> readChunks(
            String id, BatchRecord record, int chunk, List<ItemResult> results) {
        if (chunk >= record.chunks().size()) {
            return CompletableFuture.completedFuture(results);
        }
        int number = record.chunks().get(chunk);
        String key = StoredKeys.results(id, number);
        return store.read(key).thenCompose(result -> {
            ResultValues.append(number, decodeResults(key, result.first()), results);
            return readChunks(id, record, chunk + 1, results);
        });
    }

    private CompletableFuture<byte[]> readParts(String id, BatchRecord record, int part, ByteArrayOutputStream body) {
        if (part >= record.bodyParts()) {
            return CompletableFuture.completedFuture(body.toByteArray());
        }
        String key = StoredKeys.body(id, part);
        return store.read(key).thenCompose(result -> {
            body.writeBytes(result.first()
                    .orElseThrow(() -> new ExternalServiceException(key + " is missing"))
                    .value());
            return readParts(id, record, part + 1, body);
        });
    }

    private static int divideUp(int bytes, int divisor) {
        return (bytes + divisor - 1) / divisor;
    }

    private static List<ItemResult> decodeResults(String key, Optional<KeyValueStore.Entry> entry) {
        byte[] value = entry.orElseThrow(() -> new ExternalServiceException(key + " is missing"))
                .value();
        return requireDecoded(key, StoredValueCodec.readResults(value));
    }

    private static <T> T requireDecoded(String key, Try<T> decoded) {
        return decoded.getOrElseThrow(failure -> new ExternalServiceException(key + ": " + failure.getMessage()));
    }

    private static StoredRecord decodeRecord(String id, byte[] value, long revision) {
        BatchRecord record = requireDecoded("batch " + id, StoredValueCodec.readRecord(value));
        Optional<WriteId> writeId = requireDecoded("batch " + id, StoredValueCodec.readWriteId(value));
        return new StoredRecord(id, record, revision, writeId);
    }

    /**
     * A batch's record as read from the store. Immutable.
     *
     * @param id the batch's id
     * @param record the record
     * @param revision the revision that last wrote the record
     * @param writeId the id of that write; empty if an earlier version made it, or it is not known
     */
    public record StoredRecord(String id, BatchRecord record, long revision, Optional<WriteId> writeId) {
        /** Creates a record whose last write is not known. */
        public StoredRecord(String id, BatchRecord record, long revision) {
            this(id, record, revision, Optional.empty());
        }
    }

    /**
     * A chunk of results to commit. Immutable.
     *
     * @param id the batch's id
     * @param revision the record's current revision
     * @param record the record with the new chunk
     * @param firstPosition the position of the first result in the batch's list of results
     * @param results the results
     * @param values the results as stored, in one value, or in several if a single result is too large for one
     * @param writeId the id of the write, also if the commit is sent together with others or again
     */
    public record Commit(
            String id,
            long revision,
            BatchRecord record,
            int firstPosition,
            List<ItemResult> results,
            List<byte[]> values,
            WriteId writeId) {}

    /**
     * Checkpoints of a batch's open items to save. Immutable.
     *
     * @param id the batch's id
     * @param revision the record's current revision
     * @param items the checkpoint of each item
     */
    public record Checkpoints(String id, long revision, List<ItemCheckpoint> items) {}
}
