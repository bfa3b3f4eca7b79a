package org.gooseberryhill.decision.job;

import java.util.List;

/**
 * A job's record in the key-value store, written when the job is accepted and when its state changes. Immutable.
 *
 * @param state the state of the job
 * @param bodyHash the hash of the request body, which distinguishes a resent job from another job under the same id
 * @param service the service that runs the items
 * @param model the model that the caller named
 * @param dueMillis when the job is due, in epoch milliseconds
 * @param acceptedMillis when the job was accepted, in epoch milliseconds
 * @param items the number of items
 * @param chunkItems the number of items per chunk; the last chunk may have fewer
 * @param chunks the names of the segments with the items, one per chunk
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
    /** Returns the record of the same job in another state. */
    public JobRecord withState(JobState newState) {
        return new JobRecord(newState, bodyHash, service, model, dueMillis, acceptedMillis, items, chunkItems, chunks);
    }

    /** Returns the number of items of a chunk. */
    public int itemsInChunk(int chunk) {
        return Math.min(chunkItems, items - chunk * chunkItems);
    }
}
