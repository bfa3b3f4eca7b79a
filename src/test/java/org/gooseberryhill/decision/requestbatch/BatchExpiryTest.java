package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BatchExpiryTest {
    private final BatchExpiry expiry = new BatchExpiry(1000);

    @Test
    void batchIsKeptForTheRetentionPeriodAfterItWasSeenFinished() {
        assertThat(expiry.observe(Set.of("a"), at(0))).isEmpty();
        assertThat(expiry.observe(Set.of("a", "b"), at(999))).isEmpty();
        assertThat(expiry.observe(Set.of("a", "b"), at(1000))).containsExactly("a");
        assertThat(expiry.observe(Set.of("b"), at(1999))).containsExactly("b");
    }

    /**
     * A stale listing shows a finished batch as open again: its retention period starts again, so it is not deleted
     * early.
     */
    @Test
    void retentionPeriodRestartsIfABatchIsSeenOpenAgain() {
        expiry.observe(Set.of("a"), at(0));
        expiry.observe(Set.of(), at(500));

        assertThat(expiry.observe(Set.of("a"), at(1200))).isEmpty();
        assertThat(expiry.observe(Set.of("a"), at(2200))).containsExactly("a");
    }

    private static long at(long millis) {
        return TimeUnit.SECONDS.toNanos(10) + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
