package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StoreReachTest {
    private final StoreReach reach = new StoreReach();

    @Test
    void aFailedCallLosesTheStoreOnceAndAnAnsweredOneRegainsItOnce() {
        assertThat(reach.failed(millis(1), millis(700))).isTrue();
        assertThat(reach.failed(millis(2), millis(701))).isFalse();
        assertThat(reach.isDirect()).isFalse();
        assertThat(reach.answered(millis(800))).isTrue();
        assertThat(reach.answered(millis(801))).isFalse();
        assertThat(reach.isDirect()).isTrue();
    }

    @Test
    void aHostThatIsTurnedAwayTriesAgainAfterThePause() {
        reach.failed(millis(1), millis(100));

        assertThat(reach.mayTry(millis(1099))).isFalse();
        assertThat(reach.mayTry(millis(1100))).isTrue();
    }

    /**
     * Guards against a late failure that counts as a new loss. A long poll sent during an outage times out seconds
     * after newer calls were answered; the host would make no direct call for another second, and its view of endpoints
     * would be stale.
     */
    @Test
    void aCallThatHungThroughAnOutageDoesNotLoseTheStoreAgain() {
        reach.failed(millis(500), millis(1200));
        reach.answered(millis(3000));

        assertThat(reach.failed(millis(2900), millis(6600))).isFalse();
        assertThat(reach.isDirect()).isTrue();
        assertThat(reach.mayTry(millis(6601))).isTrue();
    }

    @Test
    void aCallSentAfterTheLatestAnsweredOneLosesTheStore() {
        reach.answered(millis(3000));

        assertThat(reach.failed(millis(3001), millis(3701))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
