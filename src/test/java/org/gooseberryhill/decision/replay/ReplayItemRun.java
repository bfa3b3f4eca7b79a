package org.gooseberryhill.decision.replay;

import java.util.Optional;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;

/** A run of a batch item at a simulated endpoint. */
final class ReplayItemRun implements ReplayEndpoint.AnswerListener {
    private static final double ONE_WAY_LATENCY_MILLIS = ReplayNetwork.ONE_WAY_LATENCY_MILLIS;
    private static final int ITEM_PROMPT_TOKENS = 350;
    private static final String ITEM_EVENT = "w".repeat(70);

    private final VirtualClock clock;
    private final ReplayCounts counts;
    private final PlacedItem placed;
    private final ReplayEndpoint endpoint;
    private final EndReceiver receiver;
    private final ReplayEndpoint.Run run;
    private boolean finished;

    /**
     * Creates a run that has not started.
     *
     * @param totalEvents number of events of the whole output of the item
     */
    ReplayItemRun(
            VirtualClock clock,
            ReplayCounts counts,
            PlacedItem placed,
            ReplayEndpoint endpoint,
            int totalEvents,
            EndReceiver receiver) {
        this.clock = clock;
        this.counts = counts;
        this.placed = placed;
        this.endpoint = endpoint;
        this.receiver = receiver;
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
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> endpoint.cancel(run));
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
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> finish(RunEnd.COMPLETED, AttemptEnd.ANSWERED));
    }

    @Override
    public void onBusy() {
        clock.schedule(ONE_WAY_LATENCY_MILLIS, () -> finish(RunEnd.NOT_RUN, AttemptEnd.BUSY));
    }

    private void finish(RunEnd end, AttemptEnd attemptEnd) {
        if (finished) {
            return;
        }
        finished = true;
        receiver.finished(placed, end, attemptEnd);
    }

    /** Receives the end of a run. */
    interface EndReceiver {
        void finished(PlacedItem placed, RunEnd end, AttemptEnd attemptEnd);
    }
}
