package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.directory.EndpointKey;
import org.junit.jupiter.api.Test;

/** The decisions of a coordinator about two endpoints, one of which takes 2.8 times as long as the other. */
class UnevenEndpointsTest {
    private static final EndpointKey FAST = new EndpointKey("e0", 1);
    private static final EndpointKey SLOW = new EndpointKey("e1", 1);

    private final CoordinationFixture fixture = new CoordinationFixture(2, 4);

    @Test
    void theFasterEndpointGetsMoreRequests() {
        learnSpeeds();

        Map<EndpointKey, Integer> placed = placeWithoutEnd(4);

        assertThat(placed.get(FAST)).isGreaterThan(placed.get(SLOW));
    }

    /** Guards against a request that waits for a slot of a slow endpoint for as long as the mean forecasts. */
    @Test
    void aRequestWaitsWhereItStartsEarlier() {
        learnSpeeds();
        placeWithoutEnd(8);

        assertThat(fixture.placed(CoordinationFixture.OTHER)).isEqualTo(FAST);
        assertThat(fixture.placed(CoordinationFixture.OTHER)).isEqualTo(FAST);
    }

    /** Guards against refusals by the mean of the service: the wait at the endpoint that was chosen counts. */
    @Test
    void theForecastOfThePlacementIsThatOfTheEndpoint() {
        learnSpeeds();
        placeWithoutEnd(8);

        PlacementAnswer.Placed placed = (PlacementAnswer.Placed)
                fixture.place(CoordinationFixture.OTHER, false).answer();

        assertThat(placed.endpoint()).isEqualTo(FAST);
        // One completion of four slots, at the mean of the service of about 950 ms, takes about 240 ms.
        assertThat(placed.facts().waitMillis()).isBetween(100L, 180L);
    }

    @Test
    void anItemGoesWhereItEndsSoonest() {
        learnSpeeds();
        fixture.announce(CoordinationFixture.OWNER, 0, 9000, 9000);

        assertThat(fixture.grants())
                .extracting(CoordinatorCommand.Grant::endpoint)
                .containsExactly(FAST, FAST);
    }

    /** Guards against an endpoint that answers at once with errors and therefore looks fast. */
    @Test
    void failedAndCutAttemptsDoNotMakeAnEndpointFast() {
        for (int i = 0; i < 40; i++) {
            fixture.ended(FAST, AttemptEnd.ANSWERED, 30);
            fixture.ended(SLOW, AttemptEnd.ANSWERED, 30);
        }
        for (int i = 0; i < 2; i++) {
            fixture.ended(SLOW, AttemptEnd.ERROR_ANSWER, 1);
            fixture.ended(SLOW, AttemptEnd.ABANDONED, 1);
            fixture.ended(SLOW, AttemptEnd.DROPPED, 1);
            fixture.ended(SLOW, AttemptEnd.ANSWERED, 30);
        }

        Map<EndpointKey, Integer> placed = placeWithoutEnd(4);

        assertThat(placed).containsOnly(Map.entry(FAST, 2), Map.entry(SLOW, 2));
    }

    private void learnSpeeds() {
        for (int i = 0; i < 40; i++) {
            fixture.advanceMillis(10);
            fixture.ended(FAST, AttemptEnd.ANSWERED, 25);
            fixture.ended(SLOW, AttemptEnd.ANSWERED, 70);
        }
    }

    private Map<EndpointKey, Integer> placeWithoutEnd(int requests) {
        Map<EndpointKey, Integer> placed = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            placed.merge(fixture.placed(CoordinationFixture.OTHER), 1, Integer::sum);
        }
        return placed;
    }
}
