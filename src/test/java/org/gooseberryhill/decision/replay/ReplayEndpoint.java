package org.gooseberryhill.decision.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.gooseberryhill.directory.EndpointEntry;

/**
 * A simulated endpoint that generates text. It runs as many requests as it has slots, in the order of their arrival,
 * queues some more and refuses the rest.
 *
 * <p>The figures are those of the endpoints in use: 47 ms to the first token plus the prompt at 112 tokens per
 * millisecond, eight tokens per event, and 3.23 ms per token plus a small amount for each running request.
 */
final class ReplayEndpoint {
    private static final double FIRST_MILLIS = 47;
    private static final double READ_TOKENS_PER_MILLI = 112;
    private static final double TOKENS_PER_EVENT = 8;
    private static final double STEP_MILLIS = 3.23;
    private static final double STEP_MILLIS_PER_REQUEST = 0.0483;
    private static final int MAX_QUEUED = 24;

    private final VirtualTime time;
    private final EndpointEntry entry;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();

    ReplayEndpoint(VirtualTime time, EndpointEntry entry) {
        this.time = time;
        this.entry = entry;
    }

    EndpointEntry entry() {
        return entry;
    }

    int running() {
        return running.size();
    }

    /** Starts, queues or refuses a request that arrives. */
    void take(Run run) {
        if (running.size() < entry.slots()) {
            start(run);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(run);
        } else {
            run.caller.busy();
        }
    }

    /** Cancels a request whose connection the host has closed. */
    void drop(Run run) {
        run.dropped = true;
        queue.remove(run);
        if (running.remove(run)) {
            startNext();
        }
    }

    private void start(Run run) {
        running.add(run);
        time.after(FIRST_MILLIS + run.promptTokens / READ_TOKENS_PER_MILLI, () -> event(run));
    }

    private void event(Run run) {
        if (run.dropped) {
            return;
        }
        run.events++;
        run.caller.event();
        if (run.events >= run.allEvents) {
            running.remove(run);
            run.caller.ended();
            startNext();
        } else {
            double step = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * running.size();
            time.after(TOKENS_PER_EVENT * step, () -> event(run));
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
        private final int allEvents;
        private final Caller caller;
        private int events;
        private boolean dropped;

        Run(double promptTokens, int allEvents, Caller caller) {
            this.promptTokens = promptTokens;
            this.allEvents = allEvents;
            this.caller = caller;
        }
    }

    /** Receives the answer at the time at which the endpoint sends it, without network latency. */
    interface Caller {
        void event();

        void ended();

        void busy();
    }
}
