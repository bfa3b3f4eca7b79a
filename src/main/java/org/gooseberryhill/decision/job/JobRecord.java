package org.gooseberryhill.decision.job;

import java.util.List;

/**
 * A job's record in the key-value service, written when it is accepted and when its state changes. Immutable.
 *
 * @param state its state
 * @param bodyHash tells a resent job from another one under the same id
 * @param service the service that runs its items
 * @param model the model that callers named
 * @param dueMillis when it is due, in epoch milliseconds
 * @param acceptedMillis when it was accepted, in epoch milliseconds
 * @param items how many items it has
 * @param chunkItems how many items each chunk has, the last one fewer
 * @param chunks the names of the segments with the items, one a chunk
 */
public record JobRecord(
        JobState state,
        String bodyHash,
        String service,
        String model,
        long dueMillis,
        long acceptedMillis,
        int items,
        int chunkItems,
        List<String> chunks) {
    /** The same job in another state. */
    public JobRecord in(JobState newState) {
        return new JobRecord(newState, bodyHash, service, model, dueMillis, acceptedMillis, items, chunkItems, chunks);
    }

    /** How many items a chunk has. */
    public int itemsInChunk(int chunk) {
        return Math.min(chunkItems, items - chunk * chunkItems);
    }
}
