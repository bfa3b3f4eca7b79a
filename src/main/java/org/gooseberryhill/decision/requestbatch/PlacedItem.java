package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.decision.coordination.ItemTiming;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * One run of an item at an endpoint. Immutable. Instances are compared by identity, so two runs of the same item at the
 * same endpoint differ.
 */
public final class PlacedItem {
    private final long number;
    private final OwnedBatch batch;
    private final ItemProgress item;
    private final EndpointEntry endpoint;
    private final ItemTiming timing;
    private final long startedNanos;
    private final int charactersAtStart;

    PlacedItem(long number, DueItem dueItem, EndpointEntry endpoint, ItemTiming timing, long startedNanos) {
        this.number = number;
        this.batch = dueItem.batch();
        this.item = dueItem.item();
        this.endpoint = endpoint;
        this.timing = timing;
        this.startedNanos = startedNanos;
        this.charactersAtStart = item.characterCount();
    }

    /** Returns the batch of the item. */
    public OwnedBatch batch() {
        return batch;
    }

    /** Returns the item. */
    public ItemProgress item() {
        return item;
    }

    /** Returns the endpoint that runs the item. */
    public EndpointEntry endpoint() {
        return endpoint;
    }

    /** Returns the number of the run, unique for the process. */
    public long number() {
        return number;
    }

    /** Returns the times of the item when the run started. */
    public ItemTiming timing() {
        return timing;
    }

    /** Returns how long the run has lasted so far. */
    public long elapsedNanos(long nowNanos) {
        return nowNanos - startedNanos;
    }

    /** Returns the number of characters that this run has generated. */
    int newCharacters() {
        return item.characterCount() - charactersAtStart;
    }
}
