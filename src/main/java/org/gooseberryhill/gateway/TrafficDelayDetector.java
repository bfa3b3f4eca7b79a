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
final class TrafficDelayDetector {
    private final Executor trafficExecutor;
    private final LongSupplier nowNanos;
    private final LongConsumer onDelay;
    private volatile boolean measurementPending;

    /**
     * Creates a detector for the thread that serves all connections.
     *
     * @param onDelay receives the delay of a task in milliseconds; called on the traffic thread
     */
    TrafficDelayDetector(Executor trafficExecutor, LongSupplier nowNanos, LongConsumer onDelay) {
        this.trafficExecutor = trafficExecutor;
        this.nowNanos = nowNanos;
        this.onDelay = onDelay;
    }

    /** Starts a measurement unless one is pending. */
    void measure() {
        if (measurementPending) {
            return;
        }
        measurementPending = true;
        long submittedNanos = nowNanos.getAsLong();
        trafficExecutor.execute(() -> {
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - submittedNanos);
            measurementPending = false;
            if (lateMillis >= ProcessDelayDetector.MIN_REPORTED_MILLIS) {
                onDelay.accept(lateMillis);
            }
        });
    }
}
