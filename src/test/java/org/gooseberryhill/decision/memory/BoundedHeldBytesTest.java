package org.gooseberryhill.decision.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BoundedHeldBytesTest {
    private static final long MEGABYTE = 1024 * 1024;
    private static final long BOUND = 100 * MEGABYTE;
    private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(1000);
    private static final RequestDemand SMALL = new RequestDemand(AnswerKind.PLAIN, OptionalLong.of(100), false);
    private static final RequestDemand LARGE = new RequestDemand(AnswerKind.PLAIN, OptionalLong.of(MEGABYTE), false);
    private static final RequestDemand CHUNKED = new RequestDemand(AnswerKind.PLAIN, OptionalLong.empty(), false);
    private static final RequestDemand BATCH_READ = new RequestDemand(AnswerKind.BATCH_READ, OptionalLong.of(0), false);
    private static final RequestDemand SLOW_CALLER = new RequestDemand(AnswerKind.STREAM, OptionalLong.of(0), true);

    private final HeldBytesPolicy policy = new BoundedHeldBytes(BOUND);

    /** Guards against refusals that slow readers which take little memory cause. */
    @Test
    void nothingIsRefusedOrClosedUpToHalfOfTheBound() {
        assertThat(List.of(SMALL, LARGE, CHUNKED, BATCH_READ, SLOW_CALLER))
                .noneMatch(demand -> policy.refuses(BOUND / 2, demand));
        assertThat(policy.connectionsToClose(BOUND / 2, List.of(stalled(AnswerKind.STREAM, BOUND / 2)), NOW_NANOS))
                .isEmpty();
        assertThat(policy.maxBufferedAnswerBytes(BOUND / 2)).isEqualTo(MEGABYTE);
    }

    /** Guards against a process that is killed because it goes on accepting what it has to hold. */
    @Test
    void aboveHalfOfTheBoundRequestsThatWouldBeHeldAreRefused() {
        assertThat(List.of(LARGE, CHUNKED, BATCH_READ, SLOW_CALLER))
                .allMatch(demand -> policy.refuses(BOUND / 2 + 1, demand));
    }

    /** Guards against callers at normal speed that are refused because of slow ones. */
    @Test
    void aboveHalfOfTheBoundSmallRequestsOfCallersAtNormalSpeedAreServed() {
        assertThat(policy.refuses(BOUND / 10 * 9, SMALL)).isFalse();
    }

    @Test
    void aboveNineTenthsOfTheBoundEveryRequestIsRefused() {
        assertThat(policy.refuses(BOUND / 10 * 9 + 1, SMALL)).isTrue();
    }

    @Test
    void connectionsAreClosedOnlyAboveNineTenthsAndAsFewAsNecessary() {
        SlowReader larger = stalled(AnswerKind.PLAIN, 3 * MEGABYTE);
        SlowReader smaller = stalled(AnswerKind.PLAIN, 2 * MEGABYTE);

        assertThat(policy.connectionsToClose(BOUND / 10 * 9, List.of(smaller, larger), NOW_NANOS))
                .isEmpty();
        assertThat(policy.connectionsToClose(BOUND / 10 * 9 + 1, List.of(smaller, larger), NOW_NANOS))
                .containsExactly(larger);
        assertThat(policy.connectionsToClose(BOUND / 10 * 9 + 4 * MEGABYTE, List.of(smaller, larger), NOW_NANOS))
                .containsExactly(larger, smaller);
    }

    /** Guards against a plain answer that is cut off while a batch read, which is repeated at no loss, takes memory. */
    @Test
    void batchReadsAreClosedBeforeStreamsAndStreamsBeforePlainAnswers() {
        SlowReader plain = stalled(AnswerKind.PLAIN, 3 * MEGABYTE);
        SlowReader stream = stalled(AnswerKind.STREAM, 2 * MEGABYTE);
        SlowReader batchRead = stalled(AnswerKind.BATCH_READ, MEGABYTE);

        assertThat(policy.connectionsToClose(BOUND, List.of(plain, stream, batchRead), NOW_NANOS))
                .containsExactly(batchRead, stream, plain);
    }

    /** Guards against a caller that is cut off although it reads, while others that read nothing keep their memory. */
    @Test
    void aConnectionThatAcceptsDataIsClosedAfterAllThatAcceptNone() {
        SlowReader reading = reader(AnswerKind.BATCH_READ, 3 * MEGABYTE, BoundedHeldBytes.STALLED_NANOS - 1);
        SlowReader stalled = stalled(AnswerKind.PLAIN, MEGABYTE);

        assertThat(policy.connectionsToClose(BOUND, List.of(reading, stalled), NOW_NANOS))
                .containsExactly(stalled, reading);
    }

    /** Guards against a limit that closes the connection of a caller at normal speed because of one large page. */
    @Test
    void theShareOfOneConnectionHoldsTheLargestPageAndGrowsWithTheBound() {
        assertThat(new BoundedHeldBytes(MEGABYTE).maxUnsentBytesPerConnection()).isGreaterThan(3 * 700_000);
        assertThat(new BoundedHeldBytes(160 * MEGABYTE).maxUnsentBytesPerConnection())
                .isEqualTo(10 * (int) MEGABYTE);
    }

    @Test
    void theBoundIsHalfOfWhatTheSmallerLimitLeaves() {
        assertThat(HeldBytesBound.policy(Optional.of(290 * MEGABYTE), 192 * MEGABYTE)
                        .boundBytes())
                .isEqualTo(61 * MEGABYTE);
        assertThat(HeldBytesBound.policy(Optional.of(150 * MEGABYTE), 192 * MEGABYTE)
                        .boundBytes())
                .isEqualTo(40 * MEGABYTE);
        assertThat(HeldBytesBound.policy(Optional.empty(), 192 * MEGABYTE).boundBytes())
                .isEqualTo(61 * MEGABYTE);
        assertThat(HeldBytesBound.policy(Optional.of(60 * MEGABYTE), 32 * MEGABYTE)
                        .boundBytes())
                .isEqualTo(16 * MEGABYTE);
    }

    /** Guards against refusals on a host that knows no limit. */
    @Test
    void withoutALimitNothingIsRefusedOrClosed() {
        HeldBytesPolicy unbounded = HeldBytesBound.policy(Optional.empty(), Long.MAX_VALUE);

        assertThat(unbounded.refuses(Long.MAX_VALUE, SLOW_CALLER)).isFalse();
        assertThat(unbounded.connectionsToClose(
                        Long.MAX_VALUE, List.of(stalled(AnswerKind.STREAM, MEGABYTE)), NOW_NANOS))
                .isEmpty();
        assertThat(unbounded.maxUnsentBytesPerConnection()).isEqualTo(4 * (int) MEGABYTE);
    }

    private static SlowReader stalled(AnswerKind kind, long bytes) {
        return reader(kind, bytes, BoundedHeldBytes.STALLED_NANOS);
    }

    private static SlowReader reader(AnswerKind kind, long bytes, long idleNanos) {
        return new SlowReader() {
            @Override
            public AnswerKind answerKind() {
                return kind;
            }

            @Override
            public long unsentBytes() {
                return bytes;
            }

            @Override
            public long acceptedDataNanos(long nowNanos) {
                return nowNanos - idleNanos;
            }
        };
    }
}
