package org.gooseberryhill.decision.requestbatch;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;

/**
 * What the key-value store knows of a batch: written when it is accepted, with each commit of results, and when it ends.
 * Immutable.
 *
 * <p>Invariant: it changes only by compare-and-set on its revision, so of two hosts that both think they own a batch
 * one finds its commit refused; positions are therefore given once.
 *
 * @param host the value of the batch's host header
 * @param target path and query of its submission, which its route is found by
 * @param bodyHash tells the same batch sent again from another one under its id
 * @param owner the host that runs it
 * @param ownerStart tells that host's process from an earlier one
 * @param acceptedAtMillis when it was accepted, in epoch milliseconds
 * @param bodyParts in how many values its items are kept
 * @param items the number of items
 * @param ended whether its caller ended it
 * @param chunks the first position of each committed chunk of results, in order
 * @param listed how many positions are committed
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
        int listed) {
    /** Whether nothing is left to do. */
    @JsonIgnore
    public boolean isFinished() {
        return ended || listed >= items;
    }

    /** The same batch in the hands of another process. */
    public BatchRecord ownedBy(String newOwner, String newOwnerStart) {
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
                listed);
    }

    /** The same batch, ended by its caller. */
    public BatchRecord asEnded() {
        return new BatchRecord(
                host, target, bodyHash, owner, ownerStart, acceptedAtMillis, bodyParts, items, true, chunks, listed);
    }

    /** The same batch with more results. */
    public BatchRecord withChunk(int results) {
        List<Integer> more = new ArrayList<>(chunks);
        more.add(listed);
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
                List.copyOf(more),
                listed + results);
    }
}
