package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how long requests may wait in transient and standing queues. */
class StandingQueuePolicyTest {
    private static final long TARGET_MILLIS = 300;

    private final StandingQueuePolicy policy = new StandingQueuePolicy();

    @Test
    void aRequestWithAFreeSlotIsNeverTurnedAway() {
        assertThat(turnsAway("s", 0, 0)).isFalse();
        assertThat(turnsAway("s", 0, 60_000)).isFalse();
    }

    @Test
    void inAQueueThatHasJustFormedRequestsMayWaitForMostOfTheirTarget() {
        turnsAway("s", 0, 0);

        assertThat(turnsAway("s", 200, 50)).isFalse();
        assertThat(turnsAway("s", 220, 50)).isTrue();
    }

    @Test
    void inAQueueThatStandsTheyMayNot() {
        turnsAway("s", 0, 0);

        assertThat(turnsAway("s", 80, 250)).isFalse();
        assertThat(turnsAway("s", 100, 250)).isTrue();
    }

    @Test
    void aFreeSlotEndsTheQueue() {
        turnsAway("s", 0, 0);
        turnsAway("s", 100, 1000);
        turnsAway("s", 0, 1100);

        assertThat(turnsAway("s", 200, 1150)).isFalse();
    }

    @Test
    void theQueueOfOneServiceSaysNothingOfAnother() {
        turnsAway("s", 0, 0);
        turnsAway("t", 0, 900);

        assertThat(turnsAway("t", 200, 1000)).isFalse();
        assertThat(turnsAway("s", 200, 1000)).isTrue();
    }

    /** A host that has just started and finds all slots in use does not know how long they have been so. */
    @Test
    void beforeAnythingIsKnownRequestsMayWait() {
        assertThat(turnsAway("s", 200, 0)).isFalse();
    }

    private boolean turnsAway(String service, double waitMillis, long atMillis) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(atMillis);
        OverloadCase overload = new OverloadCase(service, waitMillis, TARGET_MILLIS, 5000, 100, 800, 8, nowNanos);
        return waitMillis > policy.longestWaitMillis(overload);
    }
}
