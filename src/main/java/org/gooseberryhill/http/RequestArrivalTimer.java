package org.gooseberryhill.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time in which the next part of a request has to arrive. Runs only on the connection's event loop.
 *
 * <p>Guards against clients that send a request a byte at a time, or stop in the middle of it, and so hold a connection
 * for as long as they like.
 */
final class RequestArrivalTimer {
    private final Runnable onTimeout;
    private ScheduledFuture<?> timer;
    private long startCount;

    RequestArrivalTimer(Runnable onTimeout) {
        this.onTimeout = onTimeout;
    }

    /** Starts the timeout unless it is running. */
    void startIfStopped(EventLoop loop, int timeoutMillis) {
        if (timer != null) {
            return;
        }
        long started = ++startCount;
        timer = loop.schedule(() -> runAfterRead(loop, started), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops the timeout, since the awaited part has arrived. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** A delayed event loop thread may not have read what arrived in time. */
    private void runAfterRead(EventLoop loop, long started) {
        AfterRead.run(loop, () -> {
            if (timer != null && startCount == started) {
                timer = null;
                onTimeout.run();
            }
        });
    }
}
