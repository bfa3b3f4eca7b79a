package org.gooseberryhill.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Has an event loop read before it closes something. Stateless.
 *
 * <p>Failure: a thread that is late has old tasks before it reads, or stands still between its reading and its tasks; what
 * has arrived meanwhile would be lost with the connection, as if it had never come.
 */
final class RecentRead {
    /** Any delay makes a timer of the loop's own wait for its next round, which reads before it runs timers. */
    static final long NEXT_ROUND_MILLIS = 1;

    /** What arrives less long before a connection closes has crossed with its end. */
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private RecentRead() {}

    /** Runs an action on an event loop after a round that has read a short time before; from any thread. */
    static void thenRun(EventLoop loop, Runnable action) {
        // By the loop itself: a timer from another thread runs at once if it is due when the loop gets it.
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
