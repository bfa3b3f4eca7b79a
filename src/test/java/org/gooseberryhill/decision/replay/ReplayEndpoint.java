package org.gooseberryhill.decision.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
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
    private DoubleSupplier slowdown = () -> 1;
    private boolean failing;
    private boolean lost;
    private int arrivals;
    private int mostQueued;
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

    /** Sets by how much longer everything takes at present than usually. */
    void setSlowdown(DoubleSupplier newSlowdown) {
        slowdown = newSlowdown;
    }

    /** Lets the endpoint answer new requests at once with errors, or serve them again. */
    void setFailing(boolean answersWithErrors) {
        failing = answersWithErrors;
    }

    /** Ends the endpoint with all its requests. */
    void lose() {
        lost = true;
        List<Run> cut = new ArrayList<>(running);
        cut.addAll(queue);
        cut.forEach(run -> run.cancelled = true);
        running.clear();
        queue.clear();
        cut.forEach(run -> run.listener.onCut());
    }

    /** Returns the number of requests that arrived, with those that were refused. */
    int arrivals() {
        return arrivals;
    }

    /** Returns the greatest number of requests that waited at a time. */
    int mostQueued() {
        return mostQueued;
    }

    /** Starts, queues or refuses a request that arrives. */
    void receive(Run run) {
        counts.arrivals++;
        arrivals++;
        if (lost) {
            run.listener.onCut();
        } else if (failing) {
            run.listener.onError();
        } else if (running.size() < entry.slots()) {
            start(run);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(run);
            mostQueued = Math.max(mostQueued, queue.size());
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
        double firstEventMillis = FIRST_TOKEN_MILLIS + run.promptTokens / PROMPT_TOKENS_PER_MILLI;
        clock.schedule(slowdown.getAsDouble() * firstEventMillis, () -> sendEvent(run));
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
            clock.schedule(slowdown.getAsDouble() * tokensPerEvent * tokenMillis, () -> sendEvent(run));
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

        /** The endpoint answers with an error instead of running the request. */
        default void onError() {
            onBusy();
        }

        /** The connection ends. */
        default void onCut() {
            onBusy();
        }
    }
}
