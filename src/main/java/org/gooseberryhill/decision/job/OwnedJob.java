package org.gooseberryhill.decision.job;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.host.HostId;

/**
 * The state of a job on the host that owns it. Not thread-safe.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A chunk is returned for commit once, when each of its items has its completion.
 *   <li>Only a window of chunks is in memory, so a job of 270,000 items needs no more memory than one of a thousand.
 *   <li>After {@link #stop} no item is handed out and no report has an effect.
 *   <li>A report of a hand-out under an earlier claim has no effect.
 * </ul>
 */
public final class OwnedJob {
    /** Maximum number of chunks that are loaded and not committed. */
    static final int CHUNK_WINDOW = 4;

    /** Initial value of the mean item time, before any item has completed. */
    private static final double INITIAL_ITEM_MILLIS = 1000;

    private static final double NEW_ITEM_WEIGHT = 1.0 / 16;
    private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final JobKey key;
    private final JobRecord record;
    private final long recordRevision;
    private final long fence;
    private final BitSet committedChunks = new BitSet();
    private final BitSet requestedChunks = new BitSet();
    private final Map<Integer, List<LoadedItem>> loadedChunks = new TreeMap<>();
    private final WaitingItems waiting = new WaitingItems();
    private long lastHandout;
    private int completedItems;
    private double meanItemMillis = INITIAL_ITEM_MILLIS;
    private int runningItems;
    private boolean stopped;

    /**
     * Creates the state of a job that this host has claimed.
     *
     * @param recordRevision the revision of the record, which commits are conditional on
     * @param fence the revision of this host's claim, used as the fencing token
     * @param committed the chunks that earlier owners committed
     */
    public OwnedJob(JobKey key, JobRecord record, long recordRevision, long fence, BitSet committed) {
        this.key = key;
        this.record = record;
        this.recordRevision = recordRevision;
        this.fence = fence;
        committedChunks.or(committed);
        requestedChunks.or(committed);
        completedItems = committed.stream().map(record::itemsInChunk).sum();
    }

    /** Returns the job's key. */
    public JobKey key() {
        return key;
    }

    /** Returns the job's record. */
    public JobRecord record() {
        return record;
    }

    /** Returns the revision of the record, which commits are conditional on. */
    public long recordRevision() {
        return recordRevision;
    }

    /** Returns this host's fencing token: the revision of its claim. */
    public long fence() {
        return fence;
    }

    /** Returns the number of items that are handed out to stewards. */
    public int runningItems() {
        return runningItems;
    }

    /** Returns whether the job was stopped on this host: cancelled, lost to another owner or finished. */
    public boolean isStopped() {
        return stopped;
    }

    /** Returns the number of items without a completion, including those in flight. */
    public int remainingItems() {
        return record.items() - completedItems;
    }

    /**
     * Returns the exponentially weighted mean time of an item from its hand-out to its completion, in milliseconds.
     */
    public double meanItemMillis() {
        return meanItemMillis;
    }

    /** Returns whether all chunks are committed. */
    public boolean isComplete() {
        return committedChunks.cardinality() == record.chunks().size();
    }

    /** Returns the next chunk to load if the window has room. Each chunk is returned once unless loading it fails. */
    public Optional<Integer> nextChunkToLoad() {
        int next = requestedChunks.nextClearBit(0);
        int uncommitted = requestedChunks.cardinality() - committedChunks.cardinality();
        if (stopped || uncommitted >= CHUNK_WINDOW || next >= record.chunks().size()) {
            return Optional.empty();
        }
        requestedChunks.set(next);
        return Optional.of(next);
    }

    /** Records that a chunk could not be loaded; {@link #nextChunkToLoad} will return it again. */
    public void chunkNotLoaded(int chunk) {
        requestedChunks.clear(chunk);
    }

    /** Adds the items of a chunk that was loaded from a store host. */
    public void chunkLoaded(int chunk, List<String> bodies) {
        if (committedChunks.get(chunk) || loadedChunks.containsKey(chunk)) {
            return;
        }
        loadedChunks.put(chunk, bodies.stream().map(LoadedItem::new).toList());
        for (int offset = 0; offset < bodies.size(); offset++) {
            waiting.add(chunk * record.chunkItems() + offset);
        }
    }

    /** Returns whether an item is waiting that may run now. */
    public boolean hasWaiting(long nowNanos) {
        return !stopped && waiting.hasReady(nowNanos);
    }

    /** Hands out the waiting item with the lowest index that may run now. */
    public Optional<WorkItem> handOutNext(HostId steward, long nowNanos) {
        OptionalInt index = stopped ? OptionalInt.empty() : waiting.poll(nowNanos);
        if (index.isEmpty()) {
            return Optional.empty();
        }
        runningItems++;
        return findItem(index.getAsInt())
                .map(item -> item.handOut(key.path(), index.getAsInt(), fence, ++lastHandout, steward, nowNanos));
    }

    /** Applies a report. Returns the chunk for commit if the report completed its last item. */
    public Optional<ChunkResult> report(ItemOutcome outcome, long nowNanos) {
        Optional<LoadedItem> item = stopped || outcome.fence() != fence ? Optional.empty() : findItem(outcome.index());
        if (item.isEmpty() || !item.get().applyReport(outcome, nowNanos, BACKOFF_NANOS)) {
            return Optional.empty();
        }
        runningItems--;
        if (item.get().completion().isEmpty()) {
            requeue(outcome.index(), item.get());
            return Optional.empty();
        }
        completedItems++;
        updateMeanItemMillis(item.get().millisSinceHandOut(nowNanos));
        return removeIfComplete(outcome.index() / record.chunkItems());
    }

    /** Records that a chunk's commit took effect. */
    public void chunkCommitted(int chunk) {
        committedChunks.set(chunk);
    }

    /** Returns the stewards that hold items of this job. */
    public Set<HostId> holders() {
        Set<HostId> holders = new TreeSet<>();
        loadedChunks
                .values()
                .forEach(items -> items.forEach(item -> item.holder().ifPresent(holders::add)));
        return holders;
    }

    /** Makes the items of a lost steward wait again. */
    public void reclaimFromSteward(HostId steward) {
        reclaimWhere(item -> item.isHeldBy(steward));
    }

    /**
     * Reclaims items that were handed out to a steward more than the given time ago but that the steward does not hold.
     *
     * <p>This happens if the answer that carried the items, or the report on the end of a run, was lost. Nobody runs
     * such an item, and without this method the job would wait for it until the hand-out times out. The minimum age
     * excludes messages that are still on their way.
     *
     * @param heldHandouts the numbers of the hand-outs that the steward holds
     */
    public void reclaimMissing(HostId steward, Set<Long> heldHandouts, long minAgeMillis, long nowNanos) {
        long minAgeNanos = TimeUnit.MILLISECONDS.toNanos(minAgeMillis);
        reclaimWhere(item -> item.isHeldBy(steward)
                && item.isHandedOutLongerThan(minAgeNanos, nowNanos)
                && !heldHandouts.contains(item.handout()));
    }

    /** Reclaims items that were handed out more than the given time ago; late reports on them will be ignored. */
    public void reclaimOlderThan(long ageMillis, long nowNanos) {
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMillis);
        reclaimWhere(item -> item.isRunning() && item.isHandedOutLongerThan(ageNanos, nowNanos));
    }

    /** Stops the job on this host, because it was cancelled, lost to another owner or finished. */
    public void stop() {
        stopped = true;
        loadedChunks.clear();
        waiting.clear();
        runningItems = 0;
    }

    private void updateMeanItemMillis(double millis) {
        meanItemMillis += NEW_ITEM_WEIGHT * (millis - meanItemMillis);
    }

    private Optional<ChunkResult> removeIfComplete(int chunk) {
        List<LoadedItem> items = loadedChunks.get(chunk);
        boolean complete = items.stream().allMatch(item -> item.completion().isPresent());
        if (!complete) {
            return Optional.empty();
        }
        loadedChunks.remove(chunk);
        int failed =
                (int) items.stream().filter(LoadedItem::isFailedPermanently).count();
        List<String> lines =
                items.stream().map(item -> item.completion().orElseThrow()).toList();
        return Optional.of(new ChunkResult(chunk, lines, failed));
    }

    private Optional<LoadedItem> findItem(int index) {
        List<LoadedItem> items = loadedChunks.get(index / record.chunkItems());
        int offset = index % record.chunkItems();
        return items == null || offset >= items.size() ? Optional.empty() : Optional.of(items.get(offset));
    }

    private void requeue(int index, LoadedItem item) {
        item.notBeforeNanos().ifPresentOrElse(time -> waiting.addDelayed(index, time), () -> waiting.add(index));
    }

    private void reclaimWhere(Predicate<LoadedItem> condition) {
        loadedChunks.forEach((chunk, items) -> {
            for (int offset = 0; offset < items.size(); offset++) {
                if (condition.test(items.get(offset))) {
                    items.get(offset).endHandOut();
                    runningItems--;
                    waiting.add(chunk * record.chunkItems() + offset);
                }
            }
        });
    }
}
