package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * The state of a batch on the host that owns and runs it. Not thread-safe.
 *
 * <p>Invariants: positions in the list of results are assigned only by commits, each of them once; an item has one
 * position; a result is visible only after its commit; this copy holds exactly the results that its record lists. An item is
 * given up only when an endpoint answered that the item can never be run, when all attempts failed, or when the batch is older
 * than its retention period.
 */
public final class OwnedBatch {
    /** The delay after an error answer: the endpoint may be the cause, and other items can run in the meantime. */
    private static final long ERROR_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** The delay after an endpoint refused to run an item: about the time until one of its slots is free. */
    private static final long BUSY_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * An item becomes a suspect, one that may crash its endpoints, once this many of its runs were interrupted before
     * any output.
     */
    private static final int SUSPECT_RUN_THRESHOLD = 3;

    /**
     * The time for which an item is not started after the interruption that makes it a suspect. The pause doubles with
     * each further run that is interrupted before any output, so that an item that crashes endpoints does not bring all of
     * them down at once.
     */
    private static final long FIRST_SUSPECT_PAUSE_MILLIS = 250;

    /**
     * Two seconds at most. Most suspects are sound items that ran at endpoints which were lost for other reasons, and they
     * are due like any other item.
     */
    private static final int MAX_PAUSE_DOUBLINGS = 3;

    private final String id;
    private final Map<String, ItemProgress> items = new LinkedHashMap<>();
    private final List<ItemResult> committed = new ArrayList<>();
    private final List<ItemResult> uncommitted = new ArrayList<>();
    private BatchRecord record;
    private long recordRevision;
    private int commitSize;
    private int maxResultsPerCommit = Integer.MAX_VALUE;
    private boolean ending;
    private long savedProgressCount;

    /**
     * Creates a batch that this host has just come to own.
     *
     * @param recordRevision the revision of its record; 0 if the record is not in the key-value store yet
     * @param batchItems all items of the batch
     * @param results the committed results in the order of the batch's list of results
     * @throws IllegalArgumentException if these are not as many as the record lists
     */
    public OwnedBatch(
            String id, BatchRecord record, long recordRevision, List<BatchItem> batchItems, List<ItemResult> results) {
        if (results.size() != record.listed()) {
            throw new IllegalArgumentException("the record of batch " + id + " lists " + record.listed()
                    + " results, given are " + results.size());
        }
        this.id = id;
        this.record = record;
        this.recordRevision = recordRevision;
        batchItems.forEach(item -> items.put(item.id(), new ItemProgress(item)));
        results.forEach(this::restore);
    }

    /**
     * Returns the failed attempts of the open items, and their output so far, from which another owner can resume them: that of
     * as many items as fit into the given number of bytes. Another owner runs the others from the beginning.
     */
    public List<ItemCheckpoint> checkpoints(int maxBytes) {
        List<ItemCheckpoint> checkpoints = new ArrayList<>();
        int leftBytes = maxBytes;
        for (ItemProgress item : items.values()) {
            int fittingBytes = leftBytes;
            Optional<ItemCheckpoint> checkpoint = item.checkpoint()
                    .filter(whole -> whole.encodedBytes() <= fittingBytes)
                    .or(() -> item.checkpointWithoutOutput().filter(small -> small.encodedBytes() <= fittingBytes));
            checkpoint.ifPresent(checkpoints::add);
            leftBytes -= checkpoint.map(ItemCheckpoint::encodedBytes).orElse(0);
        }
        return checkpoints;
    }

    /** Returns the number of events and error answers that this host has received for all items; it never decreases. */
    public long progressCount() {
        return items.values().stream().mapToLong(ItemProgress::progressCount).sum();
    }

    /** Returns whether items have generated output, or failed attempts, that would be lost with this host. */
    public boolean hasUnsavedProgress() {
        return !record.ended() && progressCount() > savedProgressCount;
    }

    /**
     * Records that the progress of the open items is stored outside this host.
     *
     * @param count the value of {@link #progressCount} when the progress was saved
     */
    public void progressSaved(long count) {
        savedProgressCount = count;
    }

    /** Restores the progress that the items had made at earlier owners. */
    public void restore(List<ItemCheckpoint> checkpoints) {
        for (ItemCheckpoint checkpoint : checkpoints) {
            ItemProgress item = items.get(checkpoint.id());
            if (item != null) {
                item.restore(checkpoint);
            }
        }
    }

    /** Returns the id of the batch. */
    public String id() {
        return id;
    }

    /** Returns the record as last written. */
    public BatchRecord record() {
        return record;
    }

    /** Returns the revision of the record; 0 if it is not in the key-value store yet. */
    public long recordRevision() {
        return recordRevision;
    }

    /**
     * Returns whether the record is in the key-value store. A batch that was accepted by copies already runs without a
     * record, but its results are committed only once the record exists.
     */
    public boolean isRecorded() {
        return recordRevision > 0;
    }

    /** Returns whether each item has a committed result or the caller ended the batch. */
    public boolean isFinished() {
        return record.ended() || committed.size() == items.size();
    }

    /** Returns the items that may start now, those with output first, in order of submission otherwise. */
    public List<ItemProgress> startableItems(long nowNanos) {
        if (ending || record.ended()) {
            return List.of();
        }
        List<ItemProgress> startable = new ArrayList<>();
        items.values().stream()
                .filter(item -> item.hasOutput() && item.mayStart(nowNanos))
                .forEach(startable::add);
        items.values().stream()
                .filter(item -> !item.hasOutput() && item.mayStart(nowNanos))
                .forEach(startable::add);
        return startable;
    }

    /** Returns the number of items without a result. */
    public long openItemCount() {
        return items.values().stream().filter(item -> item.result().isEmpty()).count();
    }

    /** Marks the batch as being ended by its caller: no item starts any more, even before the record says so. */
    public void markEnding() {
        ending = true;
    }

    /** Records the start of a run of an item at an endpoint of a version. */
    public void runStarted(ItemProgress item, ServiceVersion version) {
        item.runStarted(version);
    }

    /**
     * Records the end of a run of an item.
     *
     * @param maxAttempts the number of error answers after which the item is given up
     */
    public void runEnded(ItemProgress item, RunEnd end, int maxAttempts, long nowNanos) {
        item.runStopped();
        if (item.result().isPresent()) {
            return;
        }
        switch (end) {
            case COMPLETED -> uncommitted.add(item.complete());
            case UNCONFIRMED -> handleUnconfirmedEnd(item, nowNanos);
            case REJECTED -> uncommitted.add(item.giveUp());
            case YIELDED -> item.discardOutputUnlessResumable();
            case NOT_RUN -> item.deferUntil(nowNanos + BUSY_BACKOFF_NANOS);
            case CUT -> handleCut(item, nowNanos);
            case ERROR_ANSWER -> handleErrorAnswer(item, maxAttempts, nowNanos);
            default -> throw new IllegalStateException("unknown end " + end);
        }
    }

    /**
     * Gives up the items that have used up their attempts at earlier owners, the last of which was lost before it committed this.
     *
     * @param maxAttempts the number of error answers after which an item is given up
     */
    public void giveUpExhausted(int maxAttempts) {
        items.values().stream()
                .filter(item -> item.result().isEmpty() && !item.isRunning() && item.errorAnswerCount() >= maxAttempts)
                .forEach(item -> uncommitted.add(item.giveUp()));
    }

    /** Gives up all open items, since the batch is older than the retention period of its route. */
    public void giveUpAll() {
        items.values().stream().filter(item -> item.result().isEmpty()).forEach(item -> uncommitted.add(item.giveUp()));
    }

    /** Returns whether there are results to commit. */
    public boolean hasUncommitted() {
        return !uncommitted.isEmpty() && !record.ended();
    }

    /** Returns whether there are results to commit and no items are open. */
    public boolean isLastCommitDue() {
        return hasUncommitted() && openItemCount() == 0;
    }

    /**
     * Returns the results to commit now, at the positions of the batch's list of results from {@code record().listed()}
     * on: as many as fit into the given number of bytes, but at least one if there is any. Returns the same
     * results until the commit is known to have taken effect: a write without an answer may still take effect seconds
     * later, so a repetition must have the same content.
     */
    public List<ItemResult> beginCommit(int maxBytes) {
        if (commitSize == 0) {
            int bytes = 0;
            for (ItemResult result : uncommitted) {
                bytes += result.encodedBytes();
                if (commitSize == maxResultsPerCommit || (commitSize > 0 && bytes > maxBytes)) {
                    break;
                }
                commitSize++;
            }
        }
        return List.copyOf(uncommitted.subList(0, commitSize));
    }

    /** Records that the commit took effect, with the record that it wrote. */
    public void commitSucceeded(BatchRecord newRecord, long newRevision) {
        List<ItemResult> done = uncommitted.subList(0, commitSize);
        committed.addAll(done);
        done.clear();
        commitSize = 0;
        maxResultsPerCommit = Integer.MAX_VALUE;
        record = newRecord;
        recordRevision = newRevision;
    }

    /**
     * Records that the key-value store refused the commit as invalid, so that it has not taken effect and never will. The
     * next one has half as many results. Returns false if there was only one, which can't be divided.
     */
    public boolean commitRejected() {
        boolean divisible = commitSize > 1;
        maxResultsPerCommit = Math.max(1, commitSize / 2);
        commitSize = 0;
        return divisible;
    }

    /**
     * Binds a batch that runs without a record to the record that the key-value store has now. Returns false, and changes
     * nothing, if the batch has a record already or if the new one lists results: those were committed by another copy of the
     * batch, and this one would assign their positions again.
     */
    public boolean bindRecord(BatchRecord created, long revision) {
        if (isRecorded() || created.listed() > 0) {
            return false;
        }
        record = created;
        recordRevision = revision;
        return true;
    }

    /** Records that the record is marked as ended in the key-value store. */
    public void endRecorded(BatchRecord ended, long newRevision) {
        record = ended;
        recordRevision = newRevision;
    }

    /** Returns the page of committed results from a position of the batch's list of results on, in bytes of JSON. */
    public BatchPage page(int after, int maxBytes) {
        return BatchPage.of(items.size(), after, committed, maxBytes);
    }

    /** Returns an item whose result is not committed yet; empty for any other id. */
    public Optional<BatchItem> uncommittedItem(String itemId) {
        boolean hasCommittedResult =
                committed.stream().anyMatch(result -> result.id().equals(itemId));
        return Optional.ofNullable(items.get(itemId))
                .filter(item -> !hasCommittedResult)
                .map(ItemProgress::item);
    }

    private void handleUnconfirmedEnd(ItemProgress item, long nowNanos) {
        if (item.confirmEnd()) {
            uncommitted.add(item.complete());
        } else {
            handleCut(item, nowNanos);
        }
    }

    private void handleCut(ItemProgress item, long nowNanos) {
        item.discardOutputUnlessResumable();
        if (item.runHasOutput()) {
            return;
        }
        int cutsBeyondThreshold = item.countRunWithoutOutput() - SUSPECT_RUN_THRESHOLD;
        if (cutsBeyondThreshold >= 0) {
            long pauseMillis = FIRST_SUSPECT_PAUSE_MILLIS << Math.min(cutsBeyondThreshold, MAX_PAUSE_DOUBLINGS);
            item.deferUntil(nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis));
        }
    }

    private void handleErrorAnswer(ItemProgress item, int maxAttempts, long nowNanos) {
        if (item.countErrorAnswer() >= maxAttempts) {
            uncommitted.add(item.giveUp());
        } else {
            item.deferUntil(nowNanos + ERROR_BACKOFF_NANOS);
        }
    }

    private void restore(ItemResult result) {
        committed.add(result);
        ItemProgress progress = items.get(result.id());
        if (progress != null) {
            progress.restore(result);
        }
    }
}
