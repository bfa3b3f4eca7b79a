package org.gooseberryhill.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Makes an event loop read what has arrived before it runs an action, such as closing a connection. Stateless.
 *
 * <p>Guards against the loss of data that arrived before the close: a delayed event loop thread may run old tasks before it
 * reads, or stall between reading and running its tasks, and would then close a connection with unread data.
 */
final class RecentRead {
    /** Any delay defers a timer set by the loop itself to the loop's next iteration, which reads before it runs timers. */
    static final long NEXT_ROUND_MILLIS = 1;

    /**
     * Maximum time from setting the timer, before the read, to the action. Data that arrives this shortly before a connection
     * closes counts as having crossed with the close.
     */
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private RecentRead() {}

    /** Runs an action on an event loop shortly after the loop has read; may be called from any thread. */
    static void thenRun(EventLoop loop, Runnable action) {
        // The loop sets the timer itself: one set by another thread runs at once if it is due when the loop receives
        // it.
        loop.execute(() -> runAfterRound(loop, action));
    }

    private static void runAfterRound(EventLoop loop, Runnable action) {
        long begunNanos = loop.ticker().nanoTime();
        Runnable afterRound = () -> {
            if (loop.ticker().nanoTime() - begunNanos <= RECENT_NANOS) {
                action.run();
            } else {
                runAfterRound(loop, action);
            }
        };
        loop.schedule(afterRound, NEXT_ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }
}
