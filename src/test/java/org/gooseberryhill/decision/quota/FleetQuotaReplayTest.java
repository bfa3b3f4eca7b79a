package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Replays a hot account at whole fleets while hosts are killed and cut off; the bound of quotas must always hold. */
class FleetQuotaReplayTest {
    /** Fleets of 300 hosts take seconds each, so that only one seed is played by default. */
    private static final int SEEDS = Integer.getInteger("gooseberry.replaySeeds", 6);

    private static final int LARGE_FLEET_SEEDS = Integer.getInteger("gooseberry.replaySeeds", 1);

    /** Spreads the bits of the seed; without this, adjacent seeds start with nearly the same random numbers. */
    private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int WARM_UP_SECONDS = 8;
    private static final int WAVE_SECONDS = 7;
    private static final int HOT_ACCOUNTS = 4;
    private static final double HOT_DEMAND = 8;
    private static final double LOWERED_QUOTA_OF_USUAL = 0.5;

    /** The time until a configuration is in force everywhere, and one window. */
    private static final int SECONDS_UNTIL_LOWERED_QUOTA_BINDS = 8;

    private static final double KILLED_SHARE = 0.25;
    private static final int CUT_SECONDS = 8;
    private static final List<Double> CUT_SHARES = List.of(0.05, 0.2, 0.4, 0.6);

    static Stream<Arguments> fleets() {
        return Stream.concat(Stream.of(20, 70).flatMap(hosts -> seeds(hosts, SEEDS)), seeds(300, LARGE_FLEET_SEEDS));
    }

    private static Stream<Arguments> seeds(int hosts, int count) {
        return LongStream.rangeClosed(1, count).mapToObj(seed -> Arguments.of(hosts, seed));
    }

    /** Guards against a quota that is used by hosts that are cut off, each from all others, and by the others as well. */
    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsForAHotAccountBesideKillsAndHostsThatAreCutOff(int hosts, long seed) {
        assertBoundHolds(hosts, seed, false, seed % 2 == 0);
    }

    /** Guards against a quota that is used on both sides of a cut, by hosts that still hear each other. */
    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsForAHotAccountBesideKillsAndAFleetThatIsCutInTwo(int hosts, long seed) {
        assertBoundHolds(hosts, seed, true, true);
    }

    /** Guards against a quota that is used on both sides of a cut, one of which does not reach the key-value store. */
    @ParameterizedTest
    @MethodSource("fleets")
    void theBoundHoldsForAHotAccountBesideKillsAndAFleetThatIsCutInTwoAndFromTheStore(int hosts, long seed) {
        assertBoundHolds(hosts, seed, true, false);
    }

    private static void assertBoundHolds(int hosts, long seed, boolean together, boolean storeReached) {
        Random random = new Random(seed * SEED_MULTIPLIER);
        FleetQuotaReplay replay = replay(hosts, seed);
        int hotAccount = random.nextInt(HOT_ACCOUNTS);
        replay.play(WARM_UP_SECONDS + random.nextInt(WAVE_SECONDS));
        replay.setDemand(hotAccount, HOT_DEMAND);
        replay.play(random.nextInt(WAVE_SECONDS));
        replay.kill(KILLED_SHARE, 2, random.nextBoolean());
        replay.play(random.nextInt(WAVE_SECONDS));
        double cutShare = CUT_SHARES.get(random.nextInt(CUT_SHARES.size()));
        replay.cutOff(cutShare, CUT_SECONDS, together, storeReached);
        int loweredAfterSeconds = random.nextInt(CUT_SECONDS);
        FleetQuotaResult duringCut = replay.play(loweredAfterSeconds);
        replay.setQuota(hotAccount, LOWERED_QUOTA_OF_USUAL);
        duringCut.add(replay.play(CUT_SECONDS - loweredAfterSeconds));
        FleetQuotaResult afterCut = replay.play(SECONDS_UNTIL_LOWERED_QUOTA_BINDS);
        replay.bindQuota(hotAccount);
        FleetQuotaResult lowered = replay.play(WAVE_SECONDS);

        System.out.println(
                hosts + " " + seed + " " + cutShare + together + storeReached + " " + duringCut + " | " + afterCut);
        assertThat(duringCut.worstExcess())
                .as("%s of the hosts cut off: %s", cutShare, duringCut)
                .isNegative();
        assertThat(afterCut.worstExcess()).as("after the cut: %s", afterCut).isNegative();
        assertThat(lowered.worstExcess())
                .as("with a lowered quota: %s", lowered)
                .isNegative();
    }

    private static FleetQuotaReplay replay(int hosts, long seed) {
        return new FleetQuotaReplay(hosts, Math.max(2, (int) Math.round(hosts / 14.0)), seed);
    }
}
