package org.gooseberryhill.decision.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.drain.PlannedStop.Phase;
import org.junit.jupiter.api.Test;

class PlannedStopTest {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final PlannedStop stop = new PlannedStop(500, 10_000);

    @Test
    void aStopWaitsForRequestsInProgress() {
        stop.request(0);

        assertThat(stop.advance(3, true, 400 * NANOS_PER_MILLI)).isEqualTo(Phase.ANNOUNCED);
        assertThat(stop.acceptsAllRequests()).isTrue();
        assertThat(stop.advance(3, true, 600 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(stop.acceptsAllRequests()).isFalse();
        assertThat(stop.advance(1, true, 9000 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(stop.advance(0, false, 9100 * NANOS_PER_MILLI)).isEqualTo(Phase.ENDED);
    }

    /** Guards against losing requests that arrive after the process has found nothing in progress. */
    @Test
    void aStopDoesNotEndWhileRequestsMayStillArrive() {
        stop.request(0);

        assertThat(stop.advance(0, true, 600 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(0, true, 700 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(1, true, 800 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(1, false, 900 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(0, false, 1000 * NANOS_PER_MILLI)).isEqualTo(Phase.ENDED);
    }

    /** Guards against a request that is accepted after the grace period and cut off at the bound. */
    @Test
    void afterTheGracePeriodOnlyRequestsThatEndBeforeTheFinalAnswersAreAccepted() {
        stop.request(0);
        stop.advance(1, true, 400 * NANOS_PER_MILLI);
        assertThat(stop.acceptsRequest(60_000, 400 * NANOS_PER_MILLI)).isTrue();

        stop.advance(1, true, 600 * NANOS_PER_MILLI);
        assertThat(stop.acceptsRequest(8900, 600 * NANOS_PER_MILLI)).isTrue();
        assertThat(stop.acceptsRequest(8901, 600 * NANOS_PER_MILLI)).isFalse();
        assertThat(stop.acceptsRequest(1, 9500 * NANOS_PER_MILLI)).isFalse();
        assertThat(stop.acceptsRequest(1, 10_000 * NANOS_PER_MILLI)).isFalse();
    }

    /** Guards against requests that are still unanswered when the process ends. */
    @Test
    void theFinalAnswersAreDueShortlyBeforeTheBound() {
        assertThat(stop.endsSoon(20_000 * NANOS_PER_MILLI)).isFalse();

        stop.request(0);

        assertThat(stop.endsSoon(9_499 * NANOS_PER_MILLI)).isFalse();
        assertThat(stop.endsSoon(9_500 * NANOS_PER_MILLI)).isTrue();
    }

    /** Guards against a bound before the end of the grace period, which would cut off all accepted requests. */
    @Test
    void theGracePeriodTakesAtMostHalfOfTheBound() {
        PlannedStop shortStop = new PlannedStop(2600, 2000);
        shortStop.request(0);

        assertThat(shortStop.advance(1, true, 999 * NANOS_PER_MILLI)).isEqualTo(Phase.ANNOUNCED);
        assertThat(shortStop.advance(1, true, 1000 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(shortStop.acceptsRequest(801, 1000 * NANOS_PER_MILLI)).isFalse();
    }

    /** A caller that does not close its connection must not keep the process running forever. */
    @Test
    void aStopEndsAtItsBoundWhileCallersAreConnected() {
        stop.request(0);
        stop.advance(0, true, 600 * NANOS_PER_MILLI);

        assertThat(stop.advance(0, true, 9_999 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(0, true, 10_000 * NANOS_PER_MILLI)).isEqualTo(Phase.ENDED);
    }

    /** Guards against a request that is accepted right before the bound and cut off when the process ends. */
    @Test
    void shortlyBeforeItsBoundAStopClosesWhileRequestsAreInProgress() {
        stop.request(0);
        stop.advance(1, true, 600 * NANOS_PER_MILLI);

        assertThat(stop.advance(1, true, 9_499 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(stop.advance(1, true, 9_500 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(1, true, 9_999 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
        assertThat(stop.advance(1, true, 10_000 * NANOS_PER_MILLI)).isEqualTo(Phase.ENDED);
    }

    /** Guards against a stop with a short bound that refuses all requests as soon as its grace period is over. */
    @Test
    void aShortBoundLeavesTimeBetweenTheGracePeriodAndClosing() {
        PlannedStop shortStop = new PlannedStop(2600, 1000);
        shortStop.request(0);

        assertThat(shortStop.advance(1, true, 500 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(shortStop.advance(1, true, 899 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
        assertThat(shortStop.advance(1, true, 900 * NANOS_PER_MILLI)).isEqualTo(Phase.CLOSING);
    }

    /** The operator requests the stop again: work in progress is still completed. */
    @Test
    void aSecondStopRequestHasNoEffect() {
        stop.request(0);
        stop.advance(3, true, 600 * NANOS_PER_MILLI);
        stop.request(700 * NANOS_PER_MILLI);

        assertThat(stop.advance(3, true, 1300 * NANOS_PER_MILLI)).isEqualTo(Phase.DRAINING);
    }

    @Test
    void aStopEndsAtItsBound() {
        stop.request(0);
        stop.advance(1, true, 600 * NANOS_PER_MILLI);

        assertThat(stop.advance(1, true, 10_000 * NANOS_PER_MILLI)).isEqualTo(Phase.ENDED);
    }

    /** The endpoint itself reports that it is leaving, and later that it is back, while the host list lags behind. */
    @Test
    void anEndpointIsLeavingWhileAnySourceSaysSo() {
        LeavingEndpoints leaving = new LeavingEndpoints();
        leaving.update(LeavingSource.ENDPOINT, "e1", true);
        leaving.replace(LeavingSource.HOST_LIST, Set.of());
        assertThat(leaving.all()).containsExactly("e1");

        leaving.replace(LeavingSource.HOST_LIST, Set.of("e1"));
        leaving.update(LeavingSource.ENDPOINT, "e1", false);
        assertThat(leaving.all()).containsExactly("e1");

        leaving.replace(LeavingSource.HOST_LIST, Set.of());
        assertThat(leaving.all()).isEmpty();
    }

    /** If hosts passed on peers' reports as their own, the reports would circulate and exclude an endpoint forever. */
    @Test
    void reportsFromPeersAreNotPassedOn() {
        LeavingEndpoints leaving = new LeavingEndpoints();
        leaving.update(LeavingSource.PEER, "e1", true);

        assertThat(leaving.all()).containsExactly("e1");
        assertThat(leaving.directlyObserved()).isEmpty();
    }
}
