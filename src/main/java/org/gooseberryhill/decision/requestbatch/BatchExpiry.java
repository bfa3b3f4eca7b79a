package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Determines when the retention period of finished batches has passed. Not thread-safe.
 *
 * <p>Guards against the wall clock of a host that is wrong by an hour: results that were promised for minutes would be
 * deleted at once. Timestamps in records are therefore ignored: a batch has to be observed as finished for the whole
 * period on the monotonic clock of the host that deletes it. The period starts again when the process restarts.
 */
public final class BatchExpiry {
    private final long retentionNanos;
    private final Map<String, Long> finishedSinceNanos = new HashMap<>();

    /**
     * Creates an expiry that has observed no batches.
     *
     * @param retentionMillis how long a batch is kept after it was first observed as finished
     */
    public BatchExpiry(long retentionMillis) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    /**
     * Updates the set of finished batches.
     *
     * @param finished the ids of all batches that are finished now; the period of one that is missing starts again
     * @return the ids of the batches whose retention period has passed, sorted
     */
    public List<String> observe(Set<String> finished, long nowNanos) {
        finishedSinceNanos.keySet().retainAll(finished);
        finished.forEach(id -> finishedSinceNanos.putIfAbsent(id, nowNanos));
        return finishedSinceNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= retentionNanos)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
