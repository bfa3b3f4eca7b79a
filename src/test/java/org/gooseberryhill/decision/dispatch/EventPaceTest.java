package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventPaceTest {
    private final EventPace pace = new EventPace();

    @Test
    void aStreamWithTooFewEventsHasNoPace() {
        assertThat(pace.eventNanos()).isZero();
        for (int i = 0; i < 4; i++) {
            pace.arrived(1, i * 30L);
        }

        assertThat(pace.eventNanos()).isZero();
    }

    /** Guards against durations that differ because streams differ in length and wait for a slot. */
    @Test
    void theLengthOfTheStreamAndTheWaitBeforeItDoNotMatter() {
        EventPace longer = new EventPace();
        for (int i = 0; i < 6; i++) {
            pace.arrived(1, i * 30L);
        }
        for (int i = 0; i < 100; i++) {
            longer.arrived(1, 5000 + i * 30L);
        }

        assertThat(pace.eventNanos()).isEqualTo(30);
        assertThat(longer.eventNanos()).isEqualTo(30);
    }

    @Test
    void eventsThatArriveTogetherCountEach() {
        for (int i = 0; i < 10; i++) {
            pace.arrived(2, i * 60L);
        }

        assertThat(pace.eventNanos()).isEqualTo(30);
    }

    /** Guards against a slow period that shows only once a stream has run in it from beginning to end. */
    @Test
    void onlyTheLastEventsCount() {
        long nanos = 0;
        for (int i = 0; i < 20; i++) {
            nanos += i < 8 ? 30 : 75;
            pace.arrived(1, nanos);
        }

        assertThat(pace.eventNanos()).isEqualTo(75);
    }
}
