package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the retry times given to callers whose requests were refused. */
class SpreadRetryAfterPolicyTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SpreadRetryAfterPolicy policy = new SpreadRetryAfterPolicy(new Random(1));

    @Test
    void theFirstCallerRetriesWhenTheForecastWaitIsOver() {
        assertThat(policy.retryAfterMillis(overloadAt(SECOND_NANOS, 5000))).isEqualTo(120);
    }

    @Test
    void eachFurtherCallerRetriesLater() {
        long firstMillis = policy.retryAfterMillis(overloadAt(SECOND_NANOS, 5000));
        long secondMillis = policy.retryAfterMillis(overloadAt(SECOND_NANOS, 5000));

        // 8 hosts share a tenth of 100 slots, each of which becomes free every 800 ms.
        assertThat(secondMillis - firstMillis).isEqualTo(640);
    }

    /** In a burst no caller is told a longer wait than it accepts, and the latest retry times are spread. */
    @Test
    void noRetryTimeExceedsTheLimitAndTheLatestAreSpread() {
        long[] millis = new long[100];
        for (int i = 0; i < millis.length; i++) {
            millis[i] = policy.retryAfterMillis(overloadAt(SECOND_NANOS, 3000));
        }

        assertThat(millis)
                .satisfies(times -> assertThat(Arrays.stream(times).allMatch(time -> time >= 1 && time <= 1000))
                        .isTrue());
        assertThat(Arrays.stream(millis).distinct().count()).isGreaterThan(50);
    }

    @Test
    void afterTheBurstTheFirstCallerRetriesSoonAgain() {
        for (int i = 0; i < 100; i++) {
            policy.retryAfterMillis(overloadAt(SECOND_NANOS, 5000));
        }

        assertThat(policy.retryAfterMillis(overloadAt(10 * SECOND_NANOS, 5000))).isEqualTo(120);
    }

    private static OverloadCase overloadAt(long nowNanos, long remainingMillis) {
        return new OverloadCase("s", 120, 300, remainingMillis, 100, 800, 8, nowNanos);
    }
}
