package org.gooseberryhill.decision.requestbatch;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The state of a batch in the key-value store: written when the batch is accepted or changes its owner, with each
 * commit of results, and when its caller ends it. Immutable.
 *
 * <p>Invariant: a record changes only by compare-and-set on its revision. If two hosts both believe that they own a
 * batch, the commit of one of them is refused, so each position in the list of results is assigned once.
 *
 * @param host the value of the batch's host header
 * @param target path and query of the submission, by which its route is found
 * @param bodyHash distinguishes a repeated submission of the batch from another batch with the same id
 * @param owner the host that runs the batch
 * @param ownerStart distinguishes the owner's process from earlier processes of that host
 * @param acceptedAtMillis when the batch was accepted, in epoch milliseconds
 * @param bodyParts the number of values in which the items are stored
 * @param items the number of items
 * @param ended whether the caller ended the batch
 * @param chunks the number of each value with committed results, in order: the position of its first result, or a negative number
 *     if it continues the last result of the value before
 * @param listed the number of committed results, which is also the position of the next one in the list of results
 * @param account name of the client account that submitted the batch, which its items run for; empty if no account did
 */
public record BatchRecord(
        String host,
        String target,
        String bodyHash,
        String owner,
        String ownerStart,
        long acceptedAtMillis,
        int bodyParts,
        int items,
        boolean ended,
        List<Integer> chunks,
        int listed,
        Optional<String> account) {
    /** Returns whether the caller ended the batch or all its results are committed. */
    @JsonIgnore
    public boolean isFinished() {
        return ended || listed >= items;
    }

    /** Returns a copy of this record that is owned by another process. */
    public BatchRecord withOwner(String newOwner, String newOwnerStart) {
        return new BatchRecord(
                host,
                target,
                bodyHash,
                newOwner,
                newOwnerStart,
                acceptedAtMillis,
                bodyParts,
                items,
                ended,
                chunks,
                listed,
                account);
    }

    /** Returns a copy of this record with another account. */
    public BatchRecord withAccount(Optional<String> newAccount) {
        return new BatchRecord(
                host,
                target,
                bodyHash,
                owner,
                ownerStart,
                acceptedAtMillis,
                bodyParts,
                items,
                ended,
                chunks,
                listed,
                newAccount);
    }

    /** Returns a copy of this record that is marked as ended by the caller. */
    public BatchRecord asEnded() {
        return new BatchRecord(
                host,
                target,
                bodyHash,
                owner,
                ownerStart,
                acceptedAtMillis,
                bodyParts,
                items,
                true,
                chunks,
                listed,
                account);
    }

    /** Returns a copy of this record with one more committed chunk of the given number of results, in one value. */
    public BatchRecord withChunk(int results) {
        return withChunk(results, 1);
    }

    /**
     * Returns a copy of this record with one more committed chunk.
     *
     * @param results the number of results in it
     * @param values the number of values that it takes; more than one only for a single result
     */
    public BatchRecord withChunk(int results, int values) {
        List<Integer> newChunks = new ArrayList<>(chunks);
        newChunks.add(listed);
        for (int value = 1; value < values; value++) {
            newChunks.add(-newChunks.size());
        }
        return new BatchRecord(
                host,
                target,
                bodyHash,
                owner,
                ownerStart,
                acceptedAtMillis,
                bodyParts,
                items,
                ended,
                List.copyOf(newChunks),
                listed + results,
                account);
    }
}
