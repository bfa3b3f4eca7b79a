package org.gooseberryhill.decision.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * A simulated endpoint that generates text. It runs as many requests as it has slots, in the order of their arrival,
 * queues some more and refuses the rest.
 *
 * <p>The figures are those of the endpoints in use: 47 ms to the first token plus the prompt at 112 tokens per
 * millisecond, and 3.23 ms per token plus a small amount for each running request.
 */
final class ReplayEndpoint {
    private static final double FIRST_TOKEN_MILLIS = 47;
    private static final double PROMPT_TOKENS_PER_MILLI = 112;
    private static final double TOKEN_MILLIS = 3.23;
    private static final double TOKEN_MILLIS_PER_RUNNING_REQUEST = 0.0483;
    private static final int MAX_QUEUED = 24;

    private final VirtualClock clock;
    private final EndpointEntry entry;
    private final double tokensPerEvent;
    private final ReplayCounts counts;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private boolean down;

    ReplayEndpoint(VirtualClock clock, EndpointEntry entry, double tokensPerEvent, ReplayCounts counts) {
        this.clock = clock;
        this.entry = entry;
        this.tokensPerEvent = tokensPerEvent;
        this.counts = counts;
    }

    EndpointEntry entry() {
        return entry;
    }

    boolean isDown() {
        return down;
    }

    /** Ends the endpoint with all that runs there. */
    void end() {
        down = true;
        queue.clear();
        running.forEach(run -> run.cancelled = true);
        running.clear();
    }

    int running() {
        return running.size();
    }

    /** Starts, queues or refuses a request that arrives. */
    void receive(Run run) {
        counts.arrivals++;
        if (running.size() < entry.slots()) {
            start(run);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(run);
        } else {
            counts.rejectedArrivals++;
            run.listener.onBusy();
        }
    }

    /** Cancels a request whose connection the host has closed. */
    void cancel(Run run) {
        run.cancelled = true;
        queue.remove(run);
        if (running.remove(run)) {
            startNext();
        }
    }

    private void start(Run run) {
        running.add(run);
        clock.schedule(FIRST_TOKEN_MILLIS + run.promptTokens / PROMPT_TOKENS_PER_MILLI, () -> sendEvent(run));
    }

    private void sendEvent(Run run) {
        if (run.cancelled) {
            return;
        }
        run.eventsSent++;
        run.listener.onEvent();
        if (run.eventsSent >= run.totalEvents) {
            running.remove(run);
            run.listener.onEnd();
            startNext();
        } else {
            double tokenMillis = TOKEN_MILLIS + TOKEN_MILLIS_PER_RUNNING_REQUEST * running.size();
            clock.schedule(tokensPerEvent * tokenMillis, () -> sendEvent(run));
        }
    }

    private void startNext() {
        if (!queue.isEmpty() && running.size() < entry.slots()) {
            start(queue.poll());
        }
    }

    /** A request at the endpoint. */
    static final class Run {
        private final double promptTokens;
        private final int totalEvents;
        private final AnswerListener listener;
        private int eventsSent;
        private boolean cancelled;

        Run(double promptTokens, int totalEvents, AnswerListener listener) {
            this.promptTokens = promptTokens;
            this.totalEvents = totalEvents;
            this.listener = listener;
        }
    }

    /** Receives the answer at the time at which the endpoint sends it, without network latency. */
    interface AnswerListener {
        void onEvent();

        void onEnd();

        void onBusy();

        /** Returns a listener whose actions run as the transport delivers them. */
        static AnswerListener of(Consumer<Runnable> transport, Runnable onEvent, Runnable onEnd, Runnable onBusy) {
            return new AnswerListener() {
                @Override
                public void onEvent() {
                    transport.accept(onEvent);
                }

                @Override
                public void onEnd() {
                    transport.accept(onEnd);
                }

                @Override
                public void onBusy() {
                    transport.accept(onBusy);
                }
            };
        }
    }
}
