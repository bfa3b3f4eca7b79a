package org.gooseberryhill.gateway;

/** Runs an action on the first call only. Not thread-safe. */
final class Once implements Runnable {
    private final Runnable action;
    private boolean done;

    Once(Runnable action) {
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
