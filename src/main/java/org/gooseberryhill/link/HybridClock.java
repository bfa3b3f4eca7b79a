package org.gooseberryhill.link;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock. Thread-safe.
 *
 * <p>Invariant: each reading is greater than every earlier reading and than every timestamp received before it, so
 * the merged time line shows a cause before its effect even when the hosts' clocks differ.
 */
public final class HybridClock {
    private final LongSupplier epochMillis;
    private final AtomicLong lastPacked = new AtomicLong();

    /** A clock over a source of wall-clock milliseconds. */
    public HybridClock(LongSupplier epochMillis) {
        this.epochMillis = epochMillis;
    }

    /** A new reading, for a local event or a message to send. */
    public HybridTimestamp now() {
        long physical = HybridTimestamp.ofMillis(epochMillis.getAsLong()).packed();
        return new HybridTimestamp(lastPacked.updateAndGet(last -> Math.max(physical, last + 1)));
    }

    /** Takes in the timestamp of a received message. */
    public void observe(HybridTimestamp received) {
        lastPacked.accumulateAndGet(received.packed(), Math::max);
    }
}
