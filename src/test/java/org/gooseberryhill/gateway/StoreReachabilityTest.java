package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StoreReachabilityTest {
    private final StoreReachability storeReachability = new StoreReachability();

    @Test
    void lossAndRecoveryOfTheStoreAreEachReportedOnce() {
        assertThat(storeReachability.recordFailure(millis(1), millis(700))).isTrue();
        assertThat(storeReachability.recordFailure(millis(2), millis(701))).isFalse();
        assertThat(storeReachability.isReachable()).isFalse();
        assertThat(storeReachability.recordAnswer(millis(800))).isTrue();
        assertThat(storeReachability.recordAnswer(millis(801))).isFalse();
        assertThat(storeReachability.isReachable()).isTrue();
    }

    @Test
    void directCallsResumeAfterTheRetryInterval() {
        storeReachability.recordFailure(millis(1), millis(100));

        assertThat(storeReachability.tryCallDirectly(millis(1099))).isFalse();
        assertThat(storeReachability.tryCallDirectly(millis(1100))).isTrue();
    }

    /** Guards against refused calls of all parts of a host in each interval, each of which the store counts. */
    @Test
    void onlyOneCallIsMadeInEachIntervalWhileTheStoreIsUnreachable() {
        storeReachability.recordFailure(millis(1), millis(100));

        assertThat(storeReachability.tryCallDirectly(millis(1100))).isTrue();
        assertThat(storeReachability.tryCallDirectly(millis(1101))).isFalse();
        assertThat(storeReachability.tryCallDirectly(millis(2099))).isFalse();
        assertThat(storeReachability.tryCallDirectly(millis(2100))).isTrue();
    }

    /** Guards against a store that is back and not called because the last call before hangs, and then fails. */
    @Test
    void aCallThatHangsDoesNotDelayTheNextOne() {
        storeReachability.recordFailure(millis(1), millis(100));
        assertThat(storeReachability.tryCallDirectly(millis(1100))).isTrue();
        storeReachability.recordFailure(millis(1100), millis(1800));

        assertThat(storeReachability.tryCallDirectly(millis(2100))).isTrue();
    }

    @Test
    void allCallsAreMadeOnceTheStoreAnswers() {
        storeReachability.recordFailure(millis(1), millis(100));
        assertThat(storeReachability.tryCallDirectly(millis(1100))).isTrue();
        storeReachability.recordAnswer(millis(1100));

        assertThat(storeReachability.tryCallDirectly(millis(1110))).isTrue();
        assertThat(storeReachability.tryCallDirectly(millis(1110))).isTrue();
    }

    /**
     * Guards against a late failure that counts as a new loss. A long poll sent during an outage times out seconds
     * after newer calls were answered; the host would make no direct call for another second, and its view of endpoints
     * would be stale.
     */
    @Test
    void aFailedCallSentBeforeTheLatestAnsweredOneIsIgnored() {
        storeReachability.recordFailure(millis(500), millis(1200));
        storeReachability.recordAnswer(millis(3000));

        assertThat(storeReachability.recordFailure(millis(2900), millis(6600))).isFalse();
        assertThat(storeReachability.isReachable()).isTrue();
        assertThat(storeReachability.tryCallDirectly(millis(6601))).isTrue();
    }

    @Test
    void aFailedCallSentAfterTheLatestAnsweredOneCountsAsALoss() {
        storeReachability.recordAnswer(millis(3000));

        assertThat(storeReachability.recordFailure(millis(3001), millis(3701))).isTrue();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
