package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays the requests of many accounts at fleets of several sizes, calm and under faults; the bound must always hold. */
class QuotaReplayTest {
    private static final double MAX_REFUSED_CALM = 0.001;
    private static final double MAX_REFUSED_MOVING = 0.01;

    /** Hosts that admit requests in fleets of 8, 70 and 300 hosts, with three seeds each. */
    static Stream<Arguments> fleets() {
        return Stream.of(2, 5, 20)
                .flatMap(participants -> Stream.of(1L, 2L, 3L).map(seed -> Arguments.of(participants, seed)));
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void inCalmHardlyAnyRequestWithinItsQuotaIsRejected(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.play(10);

        QuotaReplay.Result calm = replay.play(40);

        assertThat(calm.refusedShare()).isLessThan(MAX_REFUSED_CALM);
        assertThat(calm.worstExcess()).isNegative();
    }

    /** Guards against a hot account that is let through by hosts that each know only of a part of its requests. */
    @ParameterizedTest
    @MethodSource("fleets")
    void accountsThatAskForManyTimesTheirUsualStayWithinTheirQuota(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.play(10);
        replay.setDemand(0, 8);
        replay.setDemand(1, 3);
        replay.setDemand(40, 8);

        assertThat(replay.play(30).worstExcess()).isNegative();
    }

    /** Guards against requests that are rejected because the host that admitted them is gone. */
    @ParameterizedTest
    @MethodSource("fleets")
    void killedHostsCostFewRequestsWithinTheirQuota(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.play(10);
        replay.kill(0);
        QuotaReplay.Result first = replay.play(10);
        replay.kill(1);
        QuotaReplay.Result second = replay.play(10);

        assertThat(first.refusedShare()).isLessThan(MAX_REFUSED_MOVING);
        assertThat(second.refusedShare()).isLessThan(MAX_REFUSED_MOVING);
        assertThat(second.worstExcess()).isNegative();
    }

    /** Guards against hosts that start with full buckets after what ran just before they were killed. */
    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsWhenAllHostsAreKilledAtOnceAndAgain(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.setDemand(0, 8);
        replay.setDemand(30, 8);
        replay.play(12);
        for (int round = 0; round < 3; round++) {
            for (int number = 0; number < participants; number++) {
                replay.kill(number);
            }
            assertThat(replay.play(3.3).worstExcess()).isNegative();
        }
    }

    /** Guards against a quota that is used on both sides of a cut. */
    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsWhileAHostIsCutOffAndAfterwards(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.play(10);
        replay.setDemand(0, 8);
        replay.setDemand(1, 8);
        replay.play(5);
        replay.cutOff(0, 12);

        assertThat(replay.play(20).worstExcess()).isNegative();
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsWithAHostThatOthersDoNotExpectAndWithLostMessages(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.setMessageLoss(0.05);
        replay.play(10);
        replay.setDemand(0, 8);
        replay.setDemand(1, 8);
        replay.addUnexpected();

        assertThat(replay.play(20).worstExcess()).isNegative();
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void aLoweredQuotaBindsAWindowLater(int participants, long seed) {
        QuotaReplay replay = countedShares(participants, seed);
        replay.play(10);
        replay.setQuota(0, 0.1);
        replay.play(5);

        assertThat(replay.play(15).worstExcess()).isNegative();
    }

    /** The baseline, which shows what the shares by demand are worth. */
    @ParameterizedTest
    @MethodSource("fleets")
    void equalSharesRejectManyRequestsWithinTheirQuota(int participants, long seed) {
        QuotaReplay replay = new QuotaReplay((self, nowNanos) -> new EqualSharesQuota(), participants, 84, 380, seed);
        replay.play(10);

        assertThat(replay.play(20).refusedShare()).isGreaterThan(MAX_REFUSED_MOVING);
    }

    private static QuotaReplay countedShares(int participants, long seed) {
        return new QuotaReplay(CountedSharesQuota::new, participants, 84, 380, seed);
    }
}
