package org.gooseberryhill.decision.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaseGuardTest {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LeaseGuard guard = new LeaseGuard(1000);

    /**
     * A host is paused beyond its lease. When it resumes, its own clock shows the expiry before any message arrives.
     */
    @Test
    void leaseIsNotUsableAfterAPauseBeyondItsExpiry() {
        guard.renewed(7, 0, 5000);

        assertThat(guard.usable(3900 * NANOS_PER_MILLI)).contains(7L);
        assertThat(guard.usable(4100 * NANOS_PER_MILLI)).isEmpty();
    }

    /**
     * The key-value store counts the time to live from the receipt of a renewal, this host from the sending, which is
     * earlier.
     */
    @Test
    void validityCountsFromTheSendingOfTheRenewal() {
        guard.renewed(7, 0, 5000);
        guard.renewed(7, 2000 * NANOS_PER_MILLI, 5000);

        assertThat(guard.usable(5900 * NANOS_PER_MILLI)).isPresent();
        assertThat(guard.usable(6100 * NANOS_PER_MILLI)).isEmpty();
    }

    @Test
    void lateAnswerToAnEarlierRenewalDoesNotShortenTheLease() {
        guard.renewed(7, 2000 * NANOS_PER_MILLI, 5000);
        guard.renewed(7, 0, 5000);

        assertThat(guard.usable(5900 * NANOS_PER_MILLI)).isPresent();
    }

    @Test
    void lostLeaseIsNotUsable() {
        guard.renewed(7, 0, 5000);
        guard.lost();

        assertThat(guard.usable(0)).isEmpty();
    }
}
