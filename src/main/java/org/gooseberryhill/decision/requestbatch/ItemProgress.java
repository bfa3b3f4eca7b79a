package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;

/**
 * Tracks the progress of one item of an owned batch. Not thread-safe.
 *
 * <p>Invariant: an item gets exactly one result. When a run is interrupted, its output is kept, and the next run
 * resumes after the last event; output without event ids is discarded instead.
 */
public final class ItemProgress {
    private final BatchItem item;
    private final StringBuilder text = new StringBuilder();
    private Optional<Long> lastEventId = Optional.empty();
    private Optional<ItemResult> result = Optional.empty();
    private boolean running;
    private boolean begun;
    private long events;
    private int errorAnswers;
    private int fruitlessRuns;
    private boolean runFruitful;
    private Optional<Long> notBeforeNanos = Optional.empty();

    ItemProgress(BatchItem item) {
        this.item = item;
    }

    /** Returns the item as submitted. */
    public BatchItem item() {
        return item;
    }

    /** Returns the id of the event after which the next run resumes; empty if it starts from the beginning. */
    public Optional<Long> lastEventId() {
        return lastEventId;
    }

    /** Returns whether the item has output, which a run from the beginning would have to generate again. */
    public boolean isBegun() {
        return begun;
    }

    /** Appends an event of the current run; an event that was received before is ignored. */
    public void event(Optional<Long> id, String data) {
        if (id.isPresent() && lastEventId.isPresent() && id.get() <= lastEventId.get()) {
            return;
        }
        runFruitful = true;
        events++;
        if (begun) {
            text.append('\n');
        }
        text.append(data);
        begun = true;
        if (id.isPresent()) {
            lastEventId = id;
        }
    }

    /** Returns the number of characters generated so far. */
    public int characters() {
        return text.length();
    }

    /** Returns the number of runs that ended with an error answer. */
    public int errorAnswers() {
        return errorAnswers;
    }

    /** Returns whether the item was given up. */
    public boolean isGivenUp() {
        return result.map(end -> end.state() == ItemState.GIVEN_UP).orElse(false);
    }

    boolean isRunning() {
        return running;
    }

    /** Returns the number of events that this host has received for the item. */
    long events() {
        return events;
    }

    Optional<ItemResult> result() {
        return result;
    }

    boolean mayStart(long nowNanos) {
        boolean due = notBeforeNanos.isEmpty() || nowNanos - notBeforeNanos.get() >= 0;
        return !running && result.isEmpty() && due;
    }

    void started() {
        runFruitful = false;
        running = true;
    }

    void stopped() {
        running = false;
    }

    void waitUntil(long nanos) {
        notBeforeNanos = Optional.of(nanos);
    }

    int errorAnswer() {
        return ++errorAnswers;
    }

    int fruitlessRun() {
        return ++fruitlessRuns;
    }

    /** Returns whether the current run has delivered a new event. */
    boolean isRunFruitful() {
        return runFruitful;
    }

    /** Discards output whose events have no ids: it can't be resumed, so the next run starts from the beginning. */
    void forgetUnlessResumable() {
        if (begun && lastEventId.isEmpty()) {
            text.setLength(0);
            begun = false;
        }
    }

    /** Returns the output generated so far, if another run can resume after it. */
    Optional<ItemCheckpoint> checkpoint() {
        if (result.isPresent() || !begun || lastEventId.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ItemCheckpoint(item.id(), lastEventId.get(), text.toString()));
    }

    /** Restores output that an earlier owner generated, unless at least as much is already known. */
    void restored(ItemCheckpoint checkpoint) {
        if (result.isPresent() || lastEventId.orElse(0L) >= checkpoint.lastEventId()) {
            return;
        }
        text.setLength(0);
        text.append(checkpoint.text());
        lastEventId = Optional.of(checkpoint.lastEventId());
        begun = true;
    }

    /** Restores a result that an earlier owner committed. */
    void restored(ItemResult committed) {
        result = Optional.of(committed);
    }

    ItemResult complete() {
        ItemResult done = new ItemResult(item.id(), ItemState.DONE, text.toString());
        result = Optional.of(done);
        return done;
    }

    ItemResult giveUp() {
        ItemResult givenUp = new ItemResult(item.id(), ItemState.GIVEN_UP, "");
        result = Optional.of(givenUp);
        return givenUp;
    }
}
