package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how long requests may wait in transient and standing queues. */
class StandingQueuePolicyTest {
    private static final long TARGET_MILLIS = 300;

    private final StandingQueuePolicy policy = new StandingQueuePolicy();

    @Test
    void aRequestWithAFreeSlotIsNeverRefused() {
        assertThat(refuses("s", 0, 0)).isFalse();
        assertThat(refuses("s", 0, 60_000)).isFalse();
    }

    @Test
    void inATransientQueueRequestsMayWaitForMostOfTheirTarget() {
        refuses("s", 0, 0);

        assertThat(refuses("s", 200, 50)).isFalse();
        assertThat(refuses("s", 220, 50)).isTrue();
    }

    @Test
    void inAStandingQueueRequestsMayWaitForASmallPartOfTheirTarget() {
        refuses("s", 0, 0);

        assertThat(refuses("s", 80, 250)).isFalse();
        assertThat(refuses("s", 100, 250)).isTrue();
    }

    @Test
    void aFreeSlotEndsTheStandingQueue() {
        refuses("s", 0, 0);
        refuses("s", 100, 1000);
        refuses("s", 0, 1100);

        assertThat(refuses("s", 200, 1150)).isFalse();
    }

    @Test
    void theQueueOfOneServiceDoesNotAffectAnother() {
        refuses("s", 0, 0);
        refuses("t", 0, 900);

        assertThat(refuses("t", 200, 1000)).isFalse();
        assertThat(refuses("s", 200, 1000)).isTrue();
    }

    /** A host that has just started and finds all slots in use does not know how long they have been so. */
    @Test
    void withoutHistoryRequestsMayWaitForMostOfTheirTarget() {
        assertThat(refuses("s", 200, 0)).isFalse();
    }

    private boolean refuses(String service, double waitMillis, long atMillis) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(atMillis);
        OverloadCase overload = new OverloadCase(service, waitMillis, TARGET_MILLIS, 5000, 100, 800, 8, nowNanos);
        return waitMillis > policy.longestWaitMillis(overload);
    }
}
