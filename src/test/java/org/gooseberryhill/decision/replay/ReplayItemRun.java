package org.gooseberryhill.decision.replay;

import java.util.Map;
import java.util.Optional;
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
    private final double oneWayMillis;
    private final EndListener listener;
    private final ReplayEndpoint.Run run;
    private boolean finished;

    ReplayItemRun(
            VirtualClock clock,
            ReplayCounts counts,
            PlacedItem placed,
            ReplayEndpoint endpoint,
            Map<String, Integer> eventsByItem,
            double oneWayMillis,
            EndListener listener) {
        this.clock = clock;
        this.counts = counts;
        this.placed = placed;
        this.endpoint = endpoint;
        this.oneWayMillis = oneWayMillis;
        this.listener = listener;
        int totalEvents = eventsByItem.get(
                placed.batch().id() + "/" + placed.item().item().id());
        int generatedEvents = placed.item().lastEventId().orElse(0L).intValue();
        this.run = new ReplayEndpoint.Run(ITEM_PROMPT_TOKENS, totalEvents - generatedEvents, this);
    }

    PlacedItem placed() {
        return placed;
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
        clock.schedule(oneWayMillis, () -> endpoint.cancel(run));
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
        clock.schedule(oneWayMillis, () -> finish(RunEnd.COMPLETED, AttemptEnd.ANSWERED));
    }

    @Override
    public void onBusy() {
        clock.schedule(oneWayMillis, () -> finish(RunEnd.NOT_RUN, AttemptEnd.BUSY));
    }

    private void finish(RunEnd end, AttemptEnd attemptEnd) {
        if (!finished) {
            finished = true;
            listener.onEnded(this, end, attemptEnd);
        }
    }

    /** Receives the end of a run. */
    interface EndListener {
        void onEnded(ReplayItemRun run, RunEnd end, AttemptEnd attemptEnd);
    }
}
