package org.gooseberryhill.link;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock. Thread-safe.
 *
 * <p>Invariant: each timestamp is greater than all earlier ones and than all timestamps received before it. In the
 * merged timeline a cause therefore precedes its effect even if the clocks of the hosts differ.
 */
public final class HybridClock {
    private final LongSupplier epochMillis;
    private final AtomicLong lastPacked = new AtomicLong();

    /** Creates a clock from a source of wall-clock time in epoch milliseconds. */
    public HybridClock(LongSupplier epochMillis) {
        this.epochMillis = epochMillis;
    }

    /** Returns a new timestamp for a local event or a message to send. */
    public HybridTimestamp now() {
        long physical = HybridTimestamp.ofMillis(epochMillis.getAsLong()).packed();
        return new HybridTimestamp(lastPacked.updateAndGet(last -> Math.max(physical, last + 1)));
    }

    /** Advances the clock to at least the timestamp of a received message. */
    public void observe(HybridTimestamp received) {
        lastPacked.accumulateAndGet(received.packed(), Math::max);
    }
}
