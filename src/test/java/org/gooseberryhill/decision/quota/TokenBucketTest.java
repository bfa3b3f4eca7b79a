package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);
    private final TokenBucket bucket = new TokenBucket(2, nowNanos);

    @Test
    void tokensComeBackWithTheRateUpToTheCapacity() {
        bucket.resize(4, 2, nowNanos);
        assertThat(takeAll()).isEqualTo(2);

        advanceMillis(250);
        assertThat(takeAll()).isEqualTo(1);

        advanceMillis(60_000);
        assertThat(takeAll()).isEqualTo(2);
    }

    @Test
    void aSmallerCapacityTakesTokensAway() {
        bucket.resize(1, 1, nowNanos);

        assertThat(takeAll()).isEqualTo(1);
    }

    @Test
    void tokensThatWereUsedElsewhereAreWaitedFor() {
        bucket.resize(10, 2, nowNanos);
        bucket.remove(4, nowNanos);

        assertThat(bucket.hasToken(nowNanos)).isFalse();
        assertThat(TimeUnit.NANOSECONDS.toMillis(bucket.nanosUntilToken(nowNanos)))
                .isEqualTo(300);
    }

    @Test
    void withoutARateNoTokenComesBack() {
        bucket.resize(0, 2, nowNanos);
        takeAll();

        assertThat(bucket.nanosUntilToken(nowNanos)).isEqualTo(Long.MAX_VALUE);
    }

    private int takeAll() {
        int taken = 0;
        while (bucket.take(nowNanos)) {
            taken++;
        }
        return taken;
    }

    private void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
