package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads a connection once in each period instead of at each arrival. Used only on the connection's event loop.
 *
 * <p>Load pattern: many long responses of small events that are only collected. Periods of all connections begin at the same
 * moments, so that one wake-up of the event loop reads all of them.
 *
 * <p>Invariant: a connection whose reading has ended is read as data arrives, so that a pooled connection notices its close.
 */
final class PeriodicReading {
    private final Channel connection;
    private final long periodNanos;
    private ScheduledFuture<?> nextPeriod;

    /** Creates a reading that reads what arrives until the first {@link #pauseUntilNextPeriod}. */
    PeriodicReading(Channel connection, int periodMillis) {
        this.connection = connection;
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
    }

    /** Stops reading until the next period begins. */
    void pauseUntilNextPeriod() {
        boolean paused = nextPeriod != null && !nextPeriod.isDone();
        if (paused) {
            return;
        }
        connection.config().setAutoRead(false);
        long delayNanos = periodNanos - Math.floorMod(System.nanoTime(), periodNanos);
        nextPeriod = connection
                .eventLoop()
                .schedule(() -> connection.config().setAutoRead(true), delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Ends the reading in periods. */
    void end() {
        if (nextPeriod != null) {
            nextPeriod.cancel(false);
        }
        connection.config().setAutoRead(true);
    }
}
