package org.gooseberryhill.decision.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.ForecastOverloadPolicy;
import org.gooseberryhill.decision.dispatch.ForecastRetryAfterPolicy;
import org.gooseberryhill.decision.dispatch.LeastWaitPlacement;
import org.gooseberryhill.decision.dispatch.OverloadPolicy;
import org.gooseberryhill.decision.dispatch.RetryAfterPolicy;
import org.junit.jupiter.api.Test;

/**
 * Checks the effect of refusing requests under overload and of telling callers when to retry. Each policy is compared
 * with the policy that it replaces, under the same arrivals.
 */
class OverloadReplayTest {
    private static final int SEEDS = 3;

    @Test
    void atNormalLoadNoRequestIsRefusedAndNearlyAllAreOnTime() {
        for (ReplayResult result : runReplays(DispatchPolicies::defaults, replay -> replay.load(30, 1))) {
            assertThat(result.onTimeShare()).isGreaterThan(0.995);
            assertThat(result.servedShare()).isEqualTo(1);
            assertThat(result.itemsOnTimeShare()).isGreaterThan(0.99);
        }
    }

    /**
     * Long bursts exceed the capacity of the slots. If requests may wait for twice their target latency, all requests
     * of a load peak wait and most are late. If those that would wait for long are refused, the others are on time, and
     * most of the refused ones are served when they retry in the following trough.
     */
    @Test
    void inLongBurstsMoreStreamsAreOnTimeIfNoneWaitsForLong() {
        Function<Random, DispatchPolicies> waitUpToTwoTargets =
                random -> policies(random, new ForecastOverloadPolicy(2.0), new ForecastRetryAfterPolicy());
        double replacedPolicyShare = meanOnTimeShare(runReplays(waitUpToTwoTargets, OverloadReplayTest::longBursts));
        List<ReplayResult> results = runReplays(DispatchPolicies::defaults, OverloadReplayTest::longBursts);
        System.out.printf(
                "long bursts: waiting up to two targets %.3f, product %.3f on time%n",
                replacedPolicyShare, meanOnTimeShare(results));

        assertThat(meanOnTimeShare(results)).isGreaterThan(replacedPolicyShare + 0.07);
        assertThat(results)
                .allSatisfy(result -> assertThat(result.servedShare()).isGreaterThan(0.95));
    }

    /**
     * Callers that are all told the same retry time come back together, in the load peak that caused their refusal, and
     * are refused a second time.
     */
    @Test
    void callersWithIndividualRetryTimesAreSeldomRefusedTwice() {
        Function<Random, DispatchPolicies> sameRetryTime =
                random -> policies(random, new ForecastOverloadPolicy(0.3), new ForecastRetryAfterPolicy());
        double replacedPolicyShare = meanRefusedTwiceShare(runReplays(sameRetryTime, OverloadReplayTest::longBursts));
        double individualRetryTimes =
                meanRefusedTwiceShare(runReplays(DispatchPolicies::defaults, OverloadReplayTest::longBursts));
        System.out.printf(
                "long bursts: told the wait of the moment %.3f, times of their own %.3f refused twice%n",
                replacedPolicyShare, individualRetryTimes);

        assertThat(individualRetryTimes).isLessThan(replacedPolicyShare / 2);
    }

    private static DispatchPolicies policies(Random random, OverloadPolicy overload, RetryAfterPolicy retryAfter) {
        return new DispatchPolicies(new LeastWaitPlacement(random), overload, retryAfter);
    }

    private static List<ReplayResult> runReplays(
            Function<Random, DispatchPolicies> policies, Consumer<ServingReplay> load) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> {
                    ServingReplay replay =
                            new ServingReplay(ReplaySize.SMALL, ReplayPolicies.withRequestPolicies(policies), seed);
                    load.accept(replay);
                    replay.finish();
                    return replay.result();
                })
                .toList();
    }

    private static void longBursts(ServingReplay replay) {
        replay.load(5, 1);
        replay.load(8, 1.6);
        replay.load(10, 1);
        replay.load(8, 2.2);
        replay.load(10, 1);
    }

    private static double meanOnTimeShare(List<ReplayResult> results) {
        return results.stream().mapToDouble(ReplayResult::onTimeShare).average().orElseThrow();
    }

    private static double meanRefusedTwiceShare(List<ReplayResult> results) {
        return results.stream()
                .mapToDouble(ReplayResult::refusedTwiceShare)
                .average()
                .orElseThrow();
    }
}
