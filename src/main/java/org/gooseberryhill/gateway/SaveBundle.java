package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemCheckpoint;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.stored.ResultValues;

/**
 * Collects results and progress of several batches for one write. Not thread-safe.
 *
 * <p>Invariant: the bundle stays within the limits of the key-value store for one write and for each value, which are in
 * bytes; the first batch always fits.
 */
final class SaveBundle {
    /** The store's limit for one write: conditions plus written and deleted keys. */
    private static final int MAX_ENTRIES = 32;

    /** The condition, the record, and the deletion of the checkpoints; the results come on top. */
    private static final int ENTRIES_PER_COMMIT = 3;

    /** The condition and the checkpoints. */
    private static final int ENTRIES_PER_CHECKPOINTS = 2;

    private final BatchStore store;
    private final Map<OwnedBatch, BatchStore.Commit> commits = new LinkedHashMap<>();
    private final List<BatchStore.Checkpoints> checkpoints = new ArrayList<>();
    private final Map<OwnedBatch, Long> progressCounts = new LinkedHashMap<>();
    private int entries;
    private int bytes;

    private SaveBundle(BatchStore store) {
        this.store = store;
    }

    /**
     * Returns a bundle with the results of as many batches as fit, then the progress of as many as fit.
     *
     * @param store the store that the bundle is for
     */
    static SaveBundle of(Collection<OwnedBatch> batches, boolean withProgress, BatchStore store) {
        SaveBundle bundle = new SaveBundle(store);
        batches.stream().filter(OwnedBatch::hasUncommitted).forEach(bundle::addResults);
        if (withProgress) {
            batches.stream().filter(OwnedBatch::hasUnsavedProgress).forEach(bundle::addCheckpoints);
        }
        return bundle;
    }

    private BatchStore.Commit beginCommit(OwnedBatch batch) {
        List<ItemResult> results = batch.beginCommit(store.maxValueBytes());
        List<byte[]> values = ResultValues.encode(results, store.maxValueBytes());
        BatchRecord record = batch.record();
        return new BatchStore.Commit(
                batch.id(),
                batch.recordRevision(),
                record.withChunk(results.size(), values.size()),
                record.listed(),
                results,
                values,
                store.newWriteId());
    }

    /** Returns the commits by the copies of the batches that make them. */
    Map<OwnedBatch, BatchStore.Commit> commits() {
        return commits;
    }

    List<BatchStore.Checkpoints> checkpoints() {
        return checkpoints;
    }

    /** Returns a bundle with the progress of each batch in this one. */
    List<SaveBundle> progressByBatch() {
        return progressCounts.keySet().stream()
                .map(batch -> {
                    SaveBundle single = new SaveBundle(store);
                    single.addCheckpoints(batch);
                    return single;
                })
                .toList();
    }

    /** Marks the progress in this bundle as saved. */
    void markProgressSaved() {
        progressCounts.forEach(OwnedBatch::progressSaved);
    }

    private void addResults(OwnedBatch batch) {
        if (!hasRoom(ENTRIES_PER_COMMIT + 1)) {
            return;
        }
        BatchStore.Commit commit = beginCommit(batch);
        commits.put(batch, commit);
        entries += ENTRIES_PER_COMMIT + commit.values().size();
        bytes += commit.values().stream().mapToInt(value -> value.length).sum();
    }

    private void addCheckpoints(OwnedBatch batch) {
        List<ItemCheckpoint> items = batch.checkpoints(store.maxValueBytes());
        if (items.isEmpty() || !hasRoom(ENTRIES_PER_CHECKPOINTS)) {
            return;
        }
        checkpoints.add(new BatchStore.Checkpoints(batch.id(), batch.recordRevision(), items));
        progressCounts.put(batch, batch.progressCount());
        entries += ENTRIES_PER_CHECKPOINTS;
        bytes += items.stream().mapToInt(ItemCheckpoint::encodedBytes).sum();
    }

    private boolean hasRoom(int additionalEntries) {
        return entries == 0 || (entries + additionalEntries <= MAX_ENTRIES && bytes < store.maxValueBytes());
    }
}
