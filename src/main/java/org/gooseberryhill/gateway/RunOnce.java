package org.gooseberryhill.gateway;

/** Runs an action on the first call only. Not thread-safe. */
final class RunOnce implements Runnable {
    private final Runnable action;
    private boolean done;

    RunOnce(Runnable action) {
        this.action = action;
    }

    @Override
    public void run() {
        if (!done) {
            done = true;
            action.run();
        }
    }
}
