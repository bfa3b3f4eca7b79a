package org.gooseberryhill.decision.replay;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;

/** A run of a batch item at an endpoint. */
final class ReplayItemRun implements ReplayEndpoint.AnswerListener {
    private static final int ITEM_PROMPT_TOKENS = 350;
    private static final String ITEM_EVENT = "w".repeat(70);

    private final VirtualClock clock;
    private final ReplayCounts counts;
    private final PlacedItem placed;
    private final ReplayEndpoint endpoint;
    private final ReplayEndpoint.Run run;
    private final BiConsumer<RunEnd, AttemptEnd> onFinished;
    private boolean finished;

    /**
     * Creates a run.
     *
     * @param totalEvents number of events of the whole item
     * @param onFinished called once, when the run has ended
     */
    ReplayItemRun(
            VirtualClock clock,
            ReplayCounts counts,
            PlacedItem placed,
            ReplayEndpoint endpoint,
            int totalEvents,
            BiConsumer<RunEnd, AttemptEnd> onFinished) {
        this.clock = clock;
        this.counts = counts;
        this.placed = placed;
        this.endpoint = endpoint;
        this.onFinished = onFinished;
        int generatedEvents = placed.item().lastEventId().orElse(0L).intValue();
        this.run = new ReplayEndpoint.Run(ITEM_PROMPT_TOKENS, totalEvents - generatedEvents, this);
    }

    void start() {
        if (!finished) {
            counts.itemRuns++;
            endpoint.receive(run);
        }
    }

    void yieldToOnline() {
        if (finished) {
            return;
        }
        counts.itemYielded(placed.elapsedNanos(clock.nowNanos()));
        finish(RunEnd.YIELDED, AttemptEnd.ABANDONED);
        clock.schedule(ReplayNetwork.ONE_WAY_LATENCY_MILLIS, () -> endpoint.cancel(run));
    }

    @Override
    public void onEvent() {
        if (!finished) {
            long next = placed.item().lastEventId().orElse(0L) + 1;
            placed.item().appendEvent(Optional.of(next), ITEM_EVENT);
        }
    }

    @Override
    public void onEnd() {
        finishLater(RunEnd.COMPLETED, AttemptEnd.ANSWERED);
    }

    @Override
    public void onBusy() {
        finishLater(RunEnd.NOT_RUN, AttemptEnd.BUSY);
    }

    private void finishLater(RunEnd end, AttemptEnd attemptEnd) {
        clock.schedule(ReplayNetwork.ONE_WAY_LATENCY_MILLIS, () -> finish(end, attemptEnd));
    }

    private void finish(RunEnd end, AttemptEnd attemptEnd) {
        if (!finished) {
            finished = true;
            onFinished.accept(end, attemptEnd);
        }
    }
}
