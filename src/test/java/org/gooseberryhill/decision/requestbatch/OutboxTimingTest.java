package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OutboxTimingTest {
    private final OutboxTiming timing = new OutboxTiming(240_000);

    @Test
    void gatewayGetsTimeToCreateTheRecordFirst() {
        timing.copyAdded("a", at(0));

        assertThat(timing.beginAttemptIfDue("a", at(1400))).isFalse();
        assertThat(timing.beginAttemptIfDue("a", at(1500))).isTrue();
    }

    @Test
    void creationIsRetriedUntilTheCopyIsDeleted() {
        timing.copyAdded("a", at(0));
        timing.beginAttemptIfDue("a", at(2000));

        assertThat(timing.beginAttemptIfDue("a", at(2400))).isFalse();
        assertThat(timing.beginAttemptIfDue("a", at(2500))).isTrue();
        timing.copyRemoved("a");
        assertThat(timing.beginAttemptIfDue("a", at(9000))).isFalse();
    }

    /** Guards against megabytes that are sent twice a second although the store never takes them. */
    @Test
    void creationThatTheStoreRefusedAsInvalidIsRetriedRarely() {
        timing.copyAdded("a", at(0));
        timing.beginAttemptIfDue("a", at(2000));
        timing.attemptRejected("a", at(2010));

        assertThat(timing.beginAttemptIfDue("a", at(20_000))).isFalse();
        assertThat(timing.beginAttemptIfDue("a", at(32_010))).isTrue();
    }

    @Test
    void evacuatedHostCreatesTheRecordAtOnce() {
        timing.copyAdded("a", at(0));

        timing.makeDueNow("a", at(100));

        assertThat(timing.beginAttemptIfDue("a", at(100))).isTrue();
    }

    /** A host comes back after hours: the batch of its copy may have been finished and deleted long ago. */
    @Test
    void copyOlderThanTheRetentionPeriodIsExpired() {
        assertThat(timing.isExpired(239_000)).isFalse();
        assertThat(timing.isExpired(241_000)).isTrue();
    }

    private static long at(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
