package org.gooseberryhill.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Notices that the traffic thread is late: requests wait in connections that nobody reads. Thread-safe.
 *
 * <p>Invariant: one measurement at a time, so that a traffic thread which stands still gets no more work by it.
 */
final class TrafficDelay {
    private final Executor traffic;
    private final LongSupplier nowNanos;
    private final LongConsumer onDelay;
    private volatile boolean measuring;

    /**
     * A watch of the thread that carries all connections.
     *
     * @param onDelay gets by how many milliseconds a task was late; on the traffic thread
     */
    TrafficDelay(Executor traffic, LongSupplier nowNanos, LongConsumer onDelay) {
        this.traffic = traffic;
        this.nowNanos = nowNanos;
        this.onDelay = onDelay;
    }

    /** Measures once. */
    void measure() {
        if (measuring) {
            return;
        }
        measuring = true;
        long askedNanos = nowNanos.getAsLong();
        traffic.execute(() -> {
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos.getAsLong() - askedNanos);
            measuring = false;
            if (lateMillis >= DelayWatch.NOTICED_MILLIS) {
                onDelay.accept(lateMillis);
            }
        });
    }
}
