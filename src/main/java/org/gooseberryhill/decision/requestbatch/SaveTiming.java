package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Determines when an owner writes the results and the progress of its batches to the key-value store. Not thread-safe.
 *
 * <p>Each write has a cost, so results and progress of a short period are written together. Waiting too long has a cost
 * as well: when a host is lost, the unsaved output of its items is generated again, in slots that other items wait for,
 * and after a loss of all hosts the batches of the seconds before it are late by the time that this takes.
 */
public final class SaveTiming {
    /** The delay of a commit of results: callers read them when the batch is due, many seconds later. */
    private static final long RESULTS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /**
     * Results are committed without delay this close to the due time, before or after it: callers also read late
     * results, but the results that count are those they find when the batch is due.
     */
    private static final long NEAR_DUE_MILLIS = 2500;

    /**
     * The interval between saves of progress; the output of one interval may be lost. A run lasts some seconds, so the
     * loss of a host costs an item about an eighth of its run instead of half of it, at the cost of one write per host
     * and interval.
     */
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** The delay after the key-value store refused to take a batch's results as they are. */
    private static final long REJECTED_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<String, Long> rejectedSinceNanos = new HashMap<>();
    private final Map<String, Long> uncommittedSinceNanos = new HashMap<>();
    private final Map<String, Long> unsavedSinceNanos = new HashMap<>();

    /**
     * Returns whether results or progress of a batch are to be written now. Has to be called periodically.
     *
     * @param stopping whether the host is stopping: results are written at once, and progress is handed over by other
     *     means
     * @param untilDueMillis the time until the batch is due; empty if that is not known
     */
    public boolean isDue(OwnedBatch batch, boolean stopping, OptionalLong untilDueMillis, long nowNanos) {
        boolean resultsDue = batch.hasUncommitted()
                && (stopping
                        || batch.isLastCommitDue()
                        || isNearDue(untilDueMillis)
                        || hasElapsed(uncommittedSinceNanos, batch.id(), RESULTS_DELAY_NANOS, nowNanos));
        boolean progressDue = !stopping
                && batch.hasUnsavedProgress()
                && hasElapsed(unsavedSinceNanos, batch.id(), PROGRESS_INTERVAL_NANOS, nowNanos);
        return resultsDue || progressDue;
    }

    /** Records that the key-value store refused to take a batch's results, which can't be written in another way. */
    public void rejected(String batchId, long nowNanos) {
        rejectedSinceNanos.put(batchId, nowNanos);
    }

    /** Returns whether nothing of a batch is written for now, because the key-value store refused it. */
    public boolean isHeldBack(String batchId, long nowNanos) {
        Long sinceNanos = rejectedSinceNanos.get(batchId);
        return sinceNanos != null && nowNanos - sinceNanos < REJECTED_DELAY_NANOS;
    }

    /**
     * Resets the delays of a batch, since its results and progress were sent to the store or this host no longer owns
     * it.
     */
    public void resetDelays(String batchId) {
        rejectedSinceNanos.remove(batchId);
        uncommittedSinceNanos.remove(batchId);
        unsavedSinceNanos.remove(batchId);
    }

    private static boolean isNearDue(OptionalLong untilDueMillis) {
        return untilDueMillis.isPresent() && Math.abs(untilDueMillis.getAsLong()) < NEAR_DUE_MILLIS;
    }

    private static boolean hasElapsed(Map<String, Long> sinceNanos, String batchId, long durationNanos, long nowNanos) {
        return nowNanos - sinceNanos.computeIfAbsent(batchId, id -> nowNanos) >= durationNanos;
    }
}
