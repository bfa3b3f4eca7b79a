package org.gooseberryhill.gateway;

/** Runs an action at the first of several calls. Not thread-safe. */
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
