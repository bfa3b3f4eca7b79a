package org.gooseberryhill.decision.requestbatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerFailureDetectorTest {
    private static final Map<String, String> SELF_ONLY = Map.of("self", "s1");
    private static final Map<String, String> OTHER_ALIVE = Map.of("self", "s1", "other", "p1");
    private static final Map<String, String> OTHER_RESTARTED = Map.of("self", "s1", "other", "p2");

    private final OwnerFailureDetector detector = new OwnerFailureDetector("self");

    @Test
    void liveOwnerIsNotLost() {
        detector.updateLiveProcesses(OTHER_ALIVE, at(0));

        assertThat(detector.isLost("other", "p1", at(0))).isFalse();
    }

    /**
     * The list of live hosts is seconds old and does not contain an owner that has just started: it keeps its batches.
     */
    @Test
    void ownerNeverSeenAliveIsNotLostAtOnce() {
        detector.updateLiveProcesses(SELF_ONLY, at(0));

        assertThat(detector.isLost("other", "p1", at(0))).isFalse();
        assertThat(detector.isLost("other", "p1", at(2400))).isFalse();
        detector.updateLiveProcesses(OTHER_ALIVE, at(2450));
        assertThat(detector.isLost("other", "p1", at(2450))).isFalse();
        detector.updateLiveProcesses(SELF_ONLY, at(2500));
        assertThat(detector.isLost("other", "p1", at(3600))).isFalse();
    }

    @Test
    void ownerNeverSeenAliveThatStaysMissingIsLost() {
        detector.isLost("other", "p1", at(0));

        assertThat(detector.isLost("other", "p1", at(2600))).isTrue();
    }

    /**
     * An owner is killed permanently while its batches are due in some seconds. Other hosts saw it alive, so a list
     * that lags behind can't be the reason: after one more missing heartbeat the loss is reported, once, which triggers
     * the takeover.
     */
    @Test
    void ownerSeenAliveIsLostAfterOneMoreMissingHeartbeat() {
        detector.updateLiveProcesses(OTHER_ALIVE, at(0));

        assertThat(detector.updateLiveProcesses(SELF_ONLY, at(100))).isFalse();
        assertThat(detector.isLost("other", "p1", at(1200))).isFalse();
        assertThat(detector.updateLiveProcesses(SELF_ONLY, at(1300))).isTrue();
        assertThat(detector.isLost("other", "p1", at(1300))).isTrue();
        assertThat(detector.updateLiveProcesses(SELF_ONLY, at(1325))).isFalse();
    }

    /**
     * The store was unavailable and all leases expired at once: the hosts are alive, and heartbeats arrive within a
     * second.
     */
    @Test
    void ownerMissingForAShortTimeIsNotLost() {
        detector.updateLiveProcesses(OTHER_ALIVE, at(0));
        detector.updateLiveProcesses(SELF_ONLY, at(100));
        detector.updateLiveProcesses(OTHER_ALIVE, at(1100));

        assertThat(detector.updateLiveProcesses(SELF_ONLY, at(2000))).isFalse();
        assertThat(detector.isLost("other", "p1", at(2500))).isFalse();
    }

    /** A restarted host takes over the batches of its earlier process; other hosts do so only if it does not. */
    @Test
    void restartedHostGetsTimeToTakeOverItsOwnBatches() {
        detector.updateLiveProcesses(OTHER_ALIVE, at(0));
        detector.updateLiveProcesses(OTHER_RESTARTED, at(100));

        assertThat(detector.isLost("other", "p1", at(4000))).isFalse();
        assertThat(detector.isLost("other", "p1", at(6200))).isTrue();
    }

    @Test
    void earlierProcessOfThisHostIsLostAtOnce() {
        detector.updateLiveProcesses(SELF_ONLY, at(0));

        assertThat(detector.isLost("self", "s0", at(0))).isTrue();
        assertThat(detector.isLost("self", "s1", at(0))).isFalse();
    }

    private static long at(long millis) {
        return TimeUnit.SECONDS.toNanos(10) + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
