package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.directory.EndpointEntry;

/**
 * One run of an item at an endpoint. Immutable. Instances are compared by identity, so two runs of the same item at the
 * same endpoint differ.
 */
public final class PlacedItem {
    private final OwnedBatch batch;
    private final ItemProgress item;
    private final EndpointEntry endpoint;
    private final double slackMillis;
    private final boolean urgent;
    private final long startedNanos;
    private final int charactersAtStart;

    PlacedItem(DueItem dueItem, EndpointEntry endpoint, boolean urgent, long startedNanos) {
        this.batch = dueItem.batch();
        this.item = dueItem.item();
        this.endpoint = endpoint;
        this.slackMillis = dueItem.slackMillis();
        this.urgent = urgent;
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

    /** Returns how long the item could still have waited when the run started; negative if it was late already. */
    public double slackMillis() {
        return slackMillis;
    }

    /** Returns whether the run was allowed to take a slot that is reserved for online requests. */
    public boolean isUrgent() {
        return urgent;
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
