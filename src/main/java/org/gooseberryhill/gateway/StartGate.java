package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that arrive while a starting host has not loaded its configuration yet. Confined to the control thread
 * unless stated otherwise.
 *
 * <p>Guards against the loss of the first requests when all hosts restart at once after a power failure: these requests
 * reach hosts that read their configuration only some hundred milliseconds later; refused until then, they would be
 * retried too early and lost. If the configuration has still not been loaded after the hold time, the store is
 * unavailable: requests are then refused at once, since nobody can tell how long the outage will last.
 */
final class StartGate {
    /** Several times the time that a starting host takes to read the store. */
    private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final long startNanos;
    private final List<Runnable> heldActions = new ArrayList<>();
    private volatile boolean open;

    StartGate(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Returns whether the gate was opened; may be called from any thread. */
    boolean isOpen() {
        return open;
    }

    /** Runs an action now or holds it until the gate opens; returns false if the hold time is over. */
    boolean runOrHold(Runnable action, long nowNanos) {
        if (open) {
            action.run();
            return true;
        }
        if (nowNanos - startNanos > MAX_HOLD_NANOS) {
            return false;
        }
        heldActions.add(action);
        return true;
    }

    /** Opens the gate, once the host can route requests, and runs the held actions. */
    void open() {
        if (!open) {
            open = true;
            runHeldActions();
        }
    }

    /** Runs the held actions when the hold time is over; these requests are refused, since the gate is still closed. */
    void tick(long nowNanos) {
        if (!open && nowNanos - startNanos > MAX_HOLD_NANOS) {
            runHeldActions();
        }
    }

    private void runHeldActions() {
        List<Runnable> actions = List.copyOf(heldActions);
        heldActions.clear();
        actions.forEach(Runnable::run);
    }
}
