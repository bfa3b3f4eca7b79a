package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import java.util.function.Function;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Tracks the progress of one item of an owned batch. Not thread-safe.
 *
 * <p>Invariant: an item gets exactly one result. When a run is interrupted, its output is kept, and the next run
 * resumes after the last event; output without event ids is discarded instead. The output comes from one version of one
 * service: a run at another one starts from the beginning.
 */
public final class ItemProgress {
    private final BatchItem item;
    private final StringBuilder text = new StringBuilder();
    private Optional<Long> lastEventId = Optional.empty();
    private Optional<ServiceVersion> generatedBy = Optional.empty();
    private Optional<ItemResult> result = Optional.empty();
    private boolean running;
    private boolean hasOutput;
    private long eventCount;
    private int errorAnswerCount;
    private int ownErrorAnswerCount;
    private int runsWithoutOutput;
    private boolean runHasOutput;
    private Optional<Long> unconfirmedEndId = Optional.empty();
    private Optional<Long> notBeforeNanos = Optional.empty();
    private Optional<Long> passedOverSinceNanos = Optional.empty();
    private Optional<Optional<Prompt>> prompt = Optional.empty();

    ItemProgress(BatchItem item) {
        this.item = item;
    }

    /** Returns the item as submitted. */
    public BatchItem item() {
        return item;
    }

    /** Returns the prompt, which is read once. */
    Optional<Prompt> prompt(Function<BatchItem, Optional<Prompt>> reader) {
        prompt = prompt.or(() -> Optional.of(reader.apply(item)));
        return prompt.get();
    }

    /** Returns the id of the event after which the next run resumes; empty if it starts from the beginning. */
    public Optional<Long> lastEventId() {
        return lastEventId;
    }

    /** Returns whether the item has output, which a run from the beginning would have to generate again. */
    public boolean hasOutput() {
        return hasOutput;
    }

    /** Returns the version that generated the output; empty if there is no output. */
    public Optional<ServiceVersion> generatedBy() {
        return hasOutput ? generatedBy : Optional.empty();
    }

    /** Appends an event of the current run; an event that was received before is ignored. */
    public void appendEvent(Optional<Long> id, String data) {
        if (id.isPresent() && lastEventId.isPresent() && id.get() <= lastEventId.get()) {
            return;
        }
        runHasOutput = true;
        runsWithoutOutput = 0;
        eventCount++;
        if (hasOutput) {
            text.append('\n');
        }
        text.append(data);
        hasOutput = true;
        if (id.isPresent()) {
            lastEventId = id;
        }
    }

    /** Returns the number of characters generated so far. */
    public int characterCount() {
        return text.length();
    }

    /** Returns the number of runs that ended with an error answer, at this owner and those before it. */
    public int errorAnswerCount() {
        return errorAnswerCount;
    }

    /** Returns whether the output is complete. */
    public boolean isDone() {
        return result.map(end -> end.state() == ItemState.DONE).orElse(false);
    }

    /** Returns whether the item was given up. */
    public boolean isGivenUp() {
        return result.map(end -> end.state() == ItemState.GIVEN_UP).orElse(false);
    }

    boolean isRunning() {
        return running;
    }

    /** Returns the number of events and error answers that this host has received for the item. */
    long progressCount() {
        return eventCount + ownErrorAnswerCount;
    }

    Optional<ItemResult> result() {
        return result;
    }

    boolean mayStart(long nowNanos) {
        boolean delayElapsed = notBeforeNanos.isEmpty() || nowNanos - notBeforeNanos.get() >= 0;
        return !running && result.isEmpty() && delayElapsed;
    }

    /** Starts a run; output of another version is discarded. */
    void runStarted(ServiceVersion version) {
        if (generatedBy().map(before -> !before.equals(version)).orElse(false)) {
            discardOutput();
        }
        generatedBy = Optional.of(version);
        passedOverSinceNanos = Optional.empty();
        runHasOutput = false;
        running = true;
    }

    /** Records that a slot of another version was passed over, and returns for how long that has happened, in nanoseconds. */
    long passOver(long nowNanos) {
        passedOverSinceNanos = passedOverSinceNanos.or(() -> Optional.of(nowNanos));
        return nowNanos - passedOverSinceNanos.get();
    }

    void runStopped() {
        running = false;
    }

    void deferUntil(long nanos) {
        notBeforeNanos = Optional.of(nanos);
    }

    int countErrorAnswer() {
        ownErrorAnswerCount++;
        return ++errorAnswerCount;
    }

    /** Counts a run without output, and returns the number of such runs since the last output. */
    int countRunWithoutOutput() {
        return ++runsWithoutOutput;
    }

    /** Returns whether the current run has delivered a new event. */
    boolean runHasOutput() {
        return runHasOutput;
    }

    /**
     * Records that a run ended after a complete event without a mark of the end. Returns whether an earlier run ended like this
     * after the same event, so that two endpoints have no event beyond it.
     */
    boolean confirmEnd() {
        boolean confirmed = lastEventId.isPresent() && lastEventId.equals(unconfirmedEndId);
        unconfirmedEndId = lastEventId;
        return confirmed;
    }

    /** Discards output whose events have no ids: it can't be resumed, so the next run starts from the beginning. */
    void discardOutputUnlessResumable() {
        if (hasOutput && lastEventId.isEmpty()) {
            discardOutput();
        }
    }

    private void discardOutput() {
        text.setLength(0);
        lastEventId = Optional.empty();
        unconfirmedEndId = Optional.empty();
        hasOutput = false;
    }

    /** Returns the output generated so far, if another run can resume after it, and the failed attempts, if there are any. */
    Optional<ItemCheckpoint> checkpoint() {
        if (result.isPresent() || !hasOutput || lastEventId.isEmpty()) {
            return checkpointWithoutOutput();
        }
        return Optional.of(
                new ItemCheckpoint(item.id(), lastEventId.get(), text.toString(), generatedBy, errorAnswerCount));
    }

    /** Returns the failed attempts, if there are any; also those of an item that is given up, until this is committed. */
    Optional<ItemCheckpoint> checkpointWithoutOutput() {
        return isDone() || errorAnswerCount == 0
                ? Optional.empty()
                : Optional.of(ItemCheckpoint.withoutOutput(item.id(), errorAnswerCount));
    }

    /**
     * Restores the failed attempts at earlier owners, and the output that one of them generated, unless at least as much is
     * already present, or its version is unknown or not that of the current run.
     */
    void restore(ItemCheckpoint checkpoint) {
        errorAnswerCount = Math.max(errorAnswerCount, checkpoint.errorAnswers());
        boolean continuable = checkpoint.generatedBy().isPresent()
                && (!running || checkpoint.generatedBy().equals(generatedBy));
        if (!continuable) {
            return;
        }
        if (result.isPresent() || lastEventId.orElse(0L) >= checkpoint.lastEventId()) {
            return;
        }
        text.setLength(0);
        text.append(checkpoint.text());
        lastEventId = Optional.of(checkpoint.lastEventId());
        generatedBy = checkpoint.generatedBy();
        hasOutput = true;
    }

    /** Restores a result that an earlier owner committed. */
    void restore(ItemResult committed) {
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
