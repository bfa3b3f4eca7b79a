package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that come while a starting host does not know its configuration yet. For the control thread, where it
 * does not say otherwise.
 *
 * <p>Failure: all hosts come back from a loss of power at once, and the first requests meet hosts that read their
 * configuration some hundred milliseconds later; refused, they came back too soon and were lost. A host that does not know
 * it after the first moments has a store that is out: then requests are refused at once, as nobody can tell how long.
 */
final class StartGate {
    /** Several times what a starting host takes to read the store. */
    private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final long startNanos;
    private final List<Runnable> waiting = new ArrayList<>();
    private volatile boolean open;

    StartGate(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Whether the host knows enough to serve; from any thread. */
    boolean isOpen() {
        return open;
    }

    /** Runs an action now or when the host knows enough; false if the wait is over. */
    boolean pass(Runnable action, long nowNanos) {
        if (open) {
            action.run();
            return true;
        }
        if (nowNanos - startNanos > HOLD_NANOS) {
            return false;
        }
        waiting.add(action);
        return true;
    }

    /** The host knows enough to serve. */
    void open() {
        if (!open) {
            open = true;
            release();
        }
    }

    /** Lets those go that have waited long enough; they are refused, as the gate is closed still. */
    void tick(long nowNanos) {
        if (!open && nowNanos - startNanos > HOLD_NANOS) {
            release();
        }
    }

    private void release() {
        List<Runnable> actions = List.copyOf(waiting);
        waiting.clear();
        actions.forEach(Runnable::run);
    }
}
