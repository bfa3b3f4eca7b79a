package org.gooseberryhill.gateway;

/**
 * A task of a timer that drops what it refers to when it is cancelled. Not thread-safe.
 *
 * <p>A timer keeps its task until it is due, which for a request is its deadline. Without this, the body of each request would
 * stay in memory until then, long after its answer.
 */
final class CancellableTask implements Runnable {
    private Runnable action;

    CancellableTask(Runnable action) {
        this.action = action;
    }

    @Override
    public void run() {
        Runnable current = action;
        action = null;
        if (current != null) {
            current.run();
        }
    }

    void cancel() {
        action = null;
    }
}
