package org.gooseberryhill.decision.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;

/** A simulated endpoint that crashes in runs with some parts of prompts. */
final class PartReplayEndpoint {
    private static final double FIRST_EVENT_MILLIS = 50;
    private static final int MAX_QUEUED = 16;

    private final VirtualClock clock;
    private final EndpointEntry entry;
    private final Deque<Run> queue = new ArrayDeque<>();
    private final List<Run> running = new ArrayList<>();
    private final BiFunction<String, Set<String>, Optional<PartScenario.Crashing>> crashing;
    private final Consumer<String> onCrash;
    private boolean up = true;

    /**
     * Creates an endpoint that is up.
     *
     * @param crashing tells which of some parts crashes a software version now
     * @param onCrash receives the part of the prompt that crashed it
     */
    PartReplayEndpoint(
            VirtualClock clock,
            EndpointEntry entry,
            BiFunction<String, Set<String>, Optional<PartScenario.Crashing>> crashing,
            Consumer<String> onCrash) {
        this.clock = clock;
        this.entry = entry;
        this.crashing = crashing;
        this.onCrash = onCrash;
    }

    EndpointEntry entry() {
        return entry;
    }

    boolean isUp() {
        return up;
    }

    void receive(Run run) {
        if (!up) {
            run.listener.onRefused();
        } else if (running.size() < entry.slots()) {
            start(run);
        } else if (queue.size() < MAX_QUEUED) {
            queue.add(run);
        } else {
            run.listener.onBusy();
        }
    }

    /** Ends the endpoint: all its connections are lost. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        List<Run> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        lost.forEach(run -> run.listener.onLost());
    }

    /** Resets the connections of a host, whose runs end. */
    void reset(Object host, double share, Random random) {
        List<Run> lost = new ArrayList<>(running);
        lost.removeIf(run -> run.host != host || random.nextDouble() >= share);
        running.removeAll(lost);
        lost.forEach(run -> run.listener.onLost());
        startNext();
    }

    private void start(Run run) {
        running.add(run);
        clock.schedule(FIRST_EVENT_MILLIS, () -> begin(run));
    }

    private void begin(Run run) {
        if (!running.contains(run)) {
            return;
        }
        run.listener.onBegun();
        Optional<PartScenario.Crashing> cause = crashing.apply(entry.softwareVersion(), run.call.sharedParts());
        if (cause.isPresent()) {
            clock.schedule(
                    cause.get().crashMillis(), () -> crashBy(run, cause.get().part()));
        } else {
            clock.schedule(run.call.runMillis(), () -> end(run));
        }
    }

    private void crashBy(Run run, String part) {
        if (running.contains(run)) {
            crash();
            onCrash.accept(part);
        }
    }

    private void end(Run run) {
        if (running.remove(run)) {
            run.listener.onEnd();
            startNext();
        }
    }

    private void startNext() {
        while (!queue.isEmpty() && running.size() < entry.slots()) {
            start(queue.poll());
        }
    }

    /**
     * A request at the endpoint. Instances are compared by identity.
     */
    static final class Run {
        private final Object host;
        private final PartReplayCall call;
        private final Listener listener;

        Run(Object host, PartReplayCall call, Listener listener) {
            this.host = host;
            this.call = call;
            this.listener = listener;
        }
    }

    /** Receives what happens to a run at the time at which it happens, without network latency. */
    interface Listener {
        void onBegun();

        void onEnd();

        void onLost();

        void onRefused();

        void onBusy();
    }
}
