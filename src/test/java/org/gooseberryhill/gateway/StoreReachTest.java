package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StoreReachTest {
    private final StoreReach reach = new StoreReach();

    @Test
    void lossAndRecoveryOfTheStoreAreEachReportedOnce() {
        assertThat(reach.recordFailure(millis(1), millis(700))).isTrue();
        assertThat(reach.recordFailure(millis(2), millis(701))).isFalse();
        assertThat(reach.isDirect()).isFalse();
        assertThat(reach.recordAnswer(millis(800))).isTrue();
        assertThat(reach.recordAnswer(millis(801))).isFalse();
        assertThat(reach.isDirect()).isTrue();
    }

    @Test
    void directCallsResumeAfterTheRetryInterval() {
        reach.recordFailure(millis(1), millis(100));

        assertThat(reach.mayCallDirectly(millis(1099))).isFalse();
        assertThat(reach.mayCallDirectly(millis(1100))).isTrue();
    }

    /**
     * Guards against a late failure that counts as a new loss. A long poll sent during an outage times out seconds
     * after newer calls were answered; the host would make no direct call for another second, and its view of endpoints
     * would be stale.
     */
    @Test
    void aFailedCallSentBeforeTheLatestAnsweredOneIsIgnored() {
        reach.recordFailure(millis(500), millis(1200));
        reach.recordAnswer(millis(3000));

        assertThat(reach.recordFailure(millis(2900), millis(6600))).isFalse();
        assertThat(reach.isDirect()).isTrue();
        assertThat(reach.mayCallDirectly(millis(6601))).isTrue();
    }

    @Test
    void aFailedCallSentAfterTheLatestAnsweredOneCountsAsALoss() {
        reach.recordAnswer(millis(3000));

        assertThat(reach.recordFailure(millis(3001), millis(3701))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
