package org.gooseberryhill.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Detects that the traffic thread is late, so that requests wait in connections that are not read. Thread-safe.
 *
 * <p>Invariant: one measurement is pending at a time, so that measurements add no further work to a blocked thread.
 */
final class TrafficDelay {
    private final Executor traffic;
    private final LongSupplier nowNanos;
    private final LongConsumer onDelay;
    private volatile boolean measuring;

    /**
     * Creates a detector for the thread that serves all connections.
     *
     * @param onDelay receives the delay of a task in milliseconds; called on the traffic thread
     */
    TrafficDelay(Executor traffic, LongSupplier nowNanos, LongConsumer onDelay) {
        this.traffic = traffic;
        this.nowNanos = nowNanos;
        this.onDelay = onDelay;
    }

    /** Starts a measurement unless one is pending. */
    void measure() {
        if (measuring) {
            return;
        }
        measuring = true;
        long submittedNanos = nowNanos.getAsLong();
        traffic.execute(() -> {
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - submittedNanos);
            measuring = false;
            if (lateMillis >= DelayWatch.NOTICED_MILLIS) {
                onDelay.accept(lateMillis);
            }
        });
    }
}
