package org.gooseberryhill.decision.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaseGuardTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final LeaseGuard guard = new LeaseGuard(1000);

    /** A host is paused past its lease. When it wakes, its own clock tells it to stop, before any message does. */
    @Test
    void aPausedHolderMayNotActWhenItWakes() {
        guard.renewed(7, 0, 5000);

        assertThat(guard.usable(3900 * MILLI)).contains(7L);
        assertThat(guard.usable(4100 * MILLI)).isEmpty();
    }

    /** The renewal took two seconds on its way: the service counts from when it got it, this host from the sending. */
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
