package org.gooseberryhill.decision.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaseGuardTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LeaseGuard guard = new LeaseGuard(1000);

    /**
     * A host is paused beyond its lease. When it resumes, its own clock shows the expiry before any message arrives.
     */
    @Test
    void aPausedHolderMayNotActWhenItWakes() {
        guard.renewed(7, 0, 5000);

        assertThat(guard.usable(3900 * MILLI)).contains(7L);
        assertThat(guard.usable(4100 * MILLI)).isEmpty();
    }

    /**
     * The service counts the time to live from the receipt of a renewal, this host from the sending, which is earlier.
     */
    @Test
    void theTimeCountsFromTheSendingOfTheRenewal() {
        guard.renewed(7, 0, 5000);
        guard.renewed(7, 2000 * MILLI, 5000);

        assertThat(guard.usable(5900 * MILLI)).isPresent();
        assertThat(guard.usable(6100 * MILLI)).isEmpty();
    }

    @Test
    void anAnswerThatWasOvertakenDoesNotShortenTheLease() {
        guard.renewed(7, 2000 * MILLI, 5000);
        guard.renewed(7, 0, 5000);

        assertThat(guard.usable(5900 * MILLI)).isPresent();
    }

    @Test
    void aLostLeaseIsNotUsable() {
        guard.renewed(7, 0, 5000);
        guard.lost();

        assertThat(guard.usable(0)).isEmpty();
    }
}
