package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;
import org.junit.jupiter.api.Test;

class ObservedEndpointSpeedsTest {
    private static final String SERVICE = "s";
    private static final EndpointKey USUAL = new EndpointKey("usual", 1);
    private static final EndpointKey OTHER = new EndpointKey("other", 1);
    private static final long EVENT_MILLIS = 30;

    private final ObservedEndpointSpeeds speeds = new ObservedEndpointSpeeds();
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);

    @Test
    void aSlowEndpointIsExpectedToTakeLongerAndAFastOneLess() {
        EndpointKey fast = new EndpointKey("fast", 1);
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
            answered(OTHER, EVENT_MILLIS * 2);
            answered(fast, EVENT_MILLIS / 2);
        }

        assertThat(at(OTHER)).isGreaterThan(1.3);
        assertThat(at(fast)).isLessThan(0.7);
    }

    /** Guards against placement that follows noise: the load alone changes the time between events by an eighth. */
    @Test
    void differencesBelowAFifthHaveNoEffect() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, 100);
            answered(OTHER, 115);
        }

        assertThat(at(OTHER)).isEqualTo(1);
        assertThat(at(USUAL)).isEqualTo(1);
    }

    /** Guards against an endpoint that is left out for its first request, which found cold caches. */
    @Test
    void oneSlowAttemptOfANewEndpointCountsLittle() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
        }
        answered(OTHER, EVENT_MILLIS * 4);

        assertThat(at(OTHER)).isLessThanOrEqualTo(2);
    }

    @Test
    void twoAttemptsOfASlowPeriodSuffice() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
            answered(OTHER, EVENT_MILLIS);
        }
        answered(OTHER, EVENT_MILLIS * 5 / 2);
        answered(OTHER, EVENT_MILLIS * 5 / 2);

        assertThat(at(OTHER)).isGreaterThan(1.3);
    }

    /** Guards against one attempt behind a stalled connection that makes an endpoint look slow for minutes. */
    @Test
    void expectedDurationsAreBounded() {
        EndpointKey fast = new EndpointKey("fast", 1);
        for (int i = 0; i < 200; i++) {
            answered(USUAL, EVENT_MILLIS);
            answered(USUAL, EVENT_MILLIS);
            answered(USUAL, EVENT_MILLIS);
            answered(OTHER, EVENT_MILLIS * 1000);
            answered(fast, 1);
        }

        assertThat(at(OTHER)).isBetween(1.5, 4.0);
        assertThat(at(fast)).isBetween(0.25, 0.7);
    }

    /** Guards against an endpoint that was slow once and never gets a request again. */
    @Test
    void anEndpointWithoutAttemptsApproachesTheMean() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
            answered(USUAL, EVENT_MILLIS);
            answered(USUAL, EVENT_MILLIS);
            answered(OTHER, EVENT_MILLIS * 4);
        }
        final double before = at(OTHER);
        nowNanos += TimeUnit.SECONDS.toNanos(20);
        answered(USUAL, EVENT_MILLIS);

        assertThat(before).isGreaterThan(1.5);
        assertThat(at(OTHER)).isCloseTo(1, within(0.05));
    }

    @Test
    void attemptsWithoutAKnownTimeBetweenEventsDoNotCount() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
            speeds.attemptAnswered(SERVICE, OTHER, AttemptTiming.ofDuration(1), nowNanos);
        }

        assertThat(at(OTHER)).isEqualTo(1);
        assertThat(speeds.observed(nowNanos)).containsOnlyKeys(USUAL);
    }

    /** Guards against state that grows with each restart of an endpoint. */
    @Test
    void endpointsThatLeftAreForgotten() {
        answered(OTHER, EVENT_MILLIS);
        nowNanos += TimeUnit.SECONDS.toNanos(61);
        answered(USUAL, EVENT_MILLIS);

        assertThat(speeds.observed(nowNanos)).containsOnlyKeys(USUAL);
    }

    @Test
    void servicesAreComparedWithThemselvesOnly() {
        for (int i = 0; i < 100; i++) {
            answered(USUAL, EVENT_MILLIS);
            AttemptTiming slow = timing(EVENT_MILLIS * 4);
            speeds.attemptAnswered("slow service", OTHER, slow, nowNanos);
        }

        assertThat(speeds.of("slow service", nowNanos).at(OTHER)).isEqualTo(1);
        assertThat(at(USUAL)).isEqualTo(1);
    }

    private void answered(EndpointKey endpoint, long eventMillis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(10);
        speeds.attemptAnswered(SERVICE, endpoint, timing(eventMillis), nowNanos);
    }

    private static AttemptTiming timing(long eventMillis) {
        return new AttemptTiming(
                TimeUnit.MILLISECONDS.toNanos(eventMillis * 20), TimeUnit.MILLISECONDS.toNanos(eventMillis));
    }

    private double at(EndpointKey endpoint) {
        return speeds.of(SERVICE, nowNanos).at(endpoint);
    }
}
