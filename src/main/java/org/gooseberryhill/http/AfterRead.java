package org.gooseberryhill.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Makes an event loop read what has arrived before it runs an action, such as closing a connection. Stateless.
 *
 * <p>Guards against the loss of data that arrived before the close: a delayed event loop thread may run old tasks before it
 * reads, or stall between reading and running its tasks, and would then close a connection with unread data.
 */
final class AfterRead {
    /** Any delay defers a timer set by the loop itself to the loop's next iteration, which reads before it runs timers. */
    static final long NEXT_ITERATION_DELAY_MILLIS = 1;

    /**
     * Maximum time from setting the timer, which precedes the read, to running the action; a later action waits for another
     * read. Data that arrives within this time before a connection closes counts as having crossed with the close in transit.
     */
    private static final long MAX_READ_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private AfterRead() {}

    /** Runs an action on an event loop shortly after the loop has read; may be called from any thread. */
    static void run(EventLoop loop, Runnable action) {
        // The loop sets the timer itself: one from another thread runs at once if it is due when the loop gets it.
        loop.execute(() -> runAfterIteration(loop, action));
    }

    private static void runAfterIteration(EventLoop loop, Runnable action) {
        long startNanos = loop.ticker().nanoTime();
        Runnable afterIteration = () -> {
            if (loop.ticker().nanoTime() - startNanos <= MAX_READ_AGE_NANOS) {
                action.run();
            } else {
                runAfterIteration(loop, action);
            }
        };
        loop.schedule(afterIteration, NEXT_ITERATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
