package org.gooseberryhill.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class HybridClockTest {
    private final AtomicLong millis = new AtomicLong(1000);
    private final HybridClock clock = new HybridClock(millis::get);

    @Test
    void timestampsIncreaseEvenIfTheWallClockGoesBack() {
        HybridTimestamp first = clock.now();
        millis.set(500);

        assertThat(clock.now()).isGreaterThan(first);
    }

    /** The sender's clock is ahead: timestamps of the receiver after the message must still be greater. */
    @Test
    void aTimestampIsGreaterThanThatOfAReceivedMessage() {
        HybridTimestamp sent = new HybridClock(() -> 9000).now();
        clock.observe(sent);

        assertThat(clock.now()).isGreaterThan(sent);
    }

    @Test
    void aTimestampHoldsTheWallClockTime() {
        assertThat(clock.now().epochMillis()).isEqualTo(1000);
    }
}
