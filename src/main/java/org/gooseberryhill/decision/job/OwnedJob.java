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
 * A job as its owner runs it. Not thread-safe.
 *
 * <p>Invariants: a chunk is handed on for commit once, when each of its items has its completion; only a window of
 * chunks is in memory, so a job of 270,000 items costs no more than one of a thousand; after {@link #stop} nothing is
 * handed out and no report counts; nor does a report of a hand-out under an earlier claim.
 */
public final class OwnedJob {
    /** Chunks in memory at once. */
    static final int CHUNK_WINDOW = 4;

    /** Taken for the time of an item until some have run. */
    private static final double INITIAL_ITEM_MILLIS = 1000;

    private static final double MEAN_WEIGHT = 1.0 / 16;
    private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final JobKey key;
    private final JobRecord record;
    private final long recordRevision;
    private final long fence;
    private final BitSet closedChunks = new BitSet();
    private final BitSet requestedChunks = new BitSet();
    private final Map<Integer, List<ItemSlot>> openChunks = new TreeMap<>();
    private final WaitingItems waiting = new WaitingItems();
    private long handouts;
    private int completedItems;
    private double meanItemMillis = INITIAL_ITEM_MILLIS;
    private int running;
    private boolean stopped;

    /**
     * A job that this host owns from now on.
     *
     * @param recordRevision the revision of the record, which commits compare against
     * @param fence the revision of this host's claim
     * @param committed the chunks that earlier owners committed
     */
    public OwnedJob(JobKey key, JobRecord record, long recordRevision, long fence, BitSet committed) {
        this.key = key;
        this.record = record;
        this.recordRevision = recordRevision;
        this.fence = fence;
        closedChunks.or(committed);
        requestedChunks.or(committed);
        completedItems = committed.stream().map(record::itemsInChunk).sum();
    }

    /** The job's key. */
    public JobKey key() {
        return key;
    }

    /** The job's record. */
    public JobRecord record() {
        return record;
    }

    /** The revision of the record that commits compare against. */
    public long recordRevision() {
        return recordRevision;
    }

    /** The revision of this host's claim. */
    public long fence() {
        return fence;
    }

    /** Items in flight at stewards. */
    public int running() {
        return running;
    }

    /** Whether the job is cancelled, lost to another owner or finished. */
    public boolean isStopped() {
        return stopped;
    }

    /** How many items have no completion yet, those in flight included. */
    public int remainingItems() {
        return record.items() - completedItems;
    }

    /** The mean time of an item from its hand-out to its completion, in milliseconds; newer items weigh more. */
    public double meanItemMillis() {
        return meanItemMillis;
    }

    /** Whether each chunk is committed. */
    public boolean isComplete() {
        return closedChunks.cardinality() == record.chunks().size();
    }

    /** The next chunk to load, if the window has room; it is named once. */
    public Optional<Integer> nextChunkToLoad() {
        int next = requestedChunks.nextClearBit(0);
        int open = requestedChunks.cardinality() - closedChunks.cardinality();
        if (stopped || open >= CHUNK_WINDOW || next >= record.chunks().size()) {
            return Optional.empty();
        }
        requestedChunks.set(next);
        return Optional.of(next);
    }

    /** A chunk could not be loaded; it will be named again. */
    public void chunkNotLoaded(int chunk) {
        requestedChunks.clear(chunk);
    }

    /** A chunk's items came from a store. */
    public void chunkLoaded(int chunk, List<String> bodies) {
        if (closedChunks.get(chunk) || openChunks.containsKey(chunk)) {
            return;
        }
        openChunks.put(chunk, bodies.stream().map(ItemSlot::new).toList());
        for (int place = 0; place < bodies.size(); place++) {
            waiting.add(chunk * record.chunkItems() + place);
        }
    }

    /** Whether an item waits that may run now. */
    public boolean hasWaiting(long nowNanos) {
        return !stopped && waiting.hasReady(nowNanos);
    }

    /** Hands out the first waiting item. */
    public Optional<WorkItem> take(HostId steward, long nowNanos) {
        OptionalInt index = stopped ? OptionalInt.empty() : waiting.poll(nowNanos);
        if (index.isEmpty()) {
            return Optional.empty();
        }
        running++;
        return slot(index.getAsInt())
                .map(slot -> slot.handOut(key.path(), index.getAsInt(), fence, ++handouts, steward, nowNanos));
    }

    /** Takes in a report; a chunk whose last item it completes is handed on for commit. */
    public Optional<ChunkResult> report(ItemOutcome outcome, long nowNanos) {
        Optional<ItemSlot> slot = stopped || outcome.fence() != fence ? Optional.empty() : slot(outcome.index());
        if (slot.isEmpty() || !slot.get().report(outcome, nowNanos, BACKOFF_NANOS)) {
            return Optional.empty();
        }
        running--;
        if (slot.get().completion().isEmpty()) {
            waitAgain(outcome.index(), slot.get());
            return Optional.empty();
        }
        completedItems++;
        learnItemTime(slot.get().ranMillis(nowNanos));
        return closeIfWhole(outcome.index() / record.chunkItems());
    }

    /** A chunk's commit took effect. */
    public void chunkCommitted(int chunk) {
        closedChunks.set(chunk);
    }

    /** The stewards that have items of this job. */
    public Set<HostId> holders() {
        Set<HostId> holders = new TreeSet<>();
        openChunks.values().forEach(slots -> slots.forEach(slot -> slot.holder().ifPresent(holders::add)));
        return holders;
    }

    /** A steward is lost: what it had waits again. */
    public void stewardLost(HostId steward) {
        takeBackWhere(slot -> slot.isHeldBy(steward));
    }

    /**
     * Takes back what a steward does not have although it was handed out to it a while ago.
     *
     * <p>Failure: the answer with the items, or the report of an end, is lost on its way; nobody runs the item, and the
     * job would wait for it until the longest hand-out is over. The age keeps out what is still on its way.
     */
    public void takeBackMissing(HostId steward, Set<Long> held, long ageMillis, long nowNanos) {
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMillis);
        takeBackWhere(slot ->
                slot.isHeldBy(steward) && slot.isOlderThan(ageNanos, nowNanos) && !held.contains(slot.handout()));
    }

    /** Takes back what was handed out too long ago; its late report will be ignored. */
    public void takeBackOlderThan(long ageMillis, long nowNanos) {
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMillis);
        takeBackWhere(slot -> slot.isRunning() && slot.isOlderThan(ageNanos, nowNanos));
    }

    /** The job is cancelled, lost to another owner or finished. */
    public void stop() {
        stopped = true;
        openChunks.clear();
        waiting.clear();
        running = 0;
    }

    private void learnItemTime(double millis) {
        meanItemMillis += MEAN_WEIGHT * (millis - meanItemMillis);
    }

    private Optional<ChunkResult> closeIfWhole(int chunk) {
        List<ItemSlot> slots = openChunks.get(chunk);
        boolean whole = slots.stream().allMatch(slot -> slot.completion().isPresent());
        if (!whole) {
            return Optional.empty();
        }
        openChunks.remove(chunk);
        int failed = (int) slots.stream().filter(ItemSlot::isFailedForGood).count();
        List<String> lines =
                slots.stream().map(slot -> slot.completion().orElseThrow()).toList();
        return Optional.of(new ChunkResult(chunk, lines, failed));
    }

    private Optional<ItemSlot> slot(int index) {
        List<ItemSlot> slots = openChunks.get(index / record.chunkItems());
        int place = index % record.chunkItems();
        return slots == null || place >= slots.size() ? Optional.empty() : Optional.of(slots.get(place));
    }

    private void waitAgain(int index, ItemSlot slot) {
        slot.notBeforeNanos().ifPresentOrElse(time -> waiting.addDelayed(index, time), () -> waiting.add(index));
    }

    private void takeBackWhere(Predicate<ItemSlot> condition) {
        openChunks.forEach((chunk, slots) -> {
            for (int place = 0; place < slots.size(); place++) {
                if (condition.test(slots.get(place))) {
                    slots.get(place).takeBack();
                    running--;
                    waiting.add(chunk * record.chunkItems() + place);
                }
            }
        });
    }
}
