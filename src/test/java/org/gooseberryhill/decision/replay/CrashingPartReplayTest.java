package org.gooseberryhill.decision.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhill.decision.replay.PartScenario.Crashing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks on whole deployments that a part of prompts that crashes endpoints is refused, and no other. The system properties
 * {@code replay.seeds} and {@code replay.large} make the run longer.
 */
class CrashingPartReplayTest {
    private static final int SEEDS = Integer.getInteger("replay.seeds", 2);
    private static final PartScenario SIZE =
            Boolean.getBoolean("replay.large") ? PartScenario.large() : PartScenario.small();
    private static final double SECONDS = 45;
    private static final int MAX_SENT_AFTER_BOUND = 3;

    /** Share of the sound requests that still begin at the first attempt, of those that did before. */
    private static final double MIN_BEGUN_SHARE = 0.9;

    /** Guards against requests that differ in all but one part and reach endpoints long after it has crashed five. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 5, 20})
    void aCrashingPartReachesEndpointsThreeTimesAtMostAfterTheBound(double perSecond) {
        assertThatOnlyThePartIsBlocked(Crashing.second(perSecond));
    }

    /** Guards against a part that is not recognised, or taken for another one, in some place of the prompt. */
    @ParameterizedTest
    @ValueSource(strings = {"*", "f0 ? *", "f0 * ?", "f0 s1 s2 *"})
    void aCrashingPartIsToldFromTheOtherPartsOfItsPrompts(String prompt) {
        assertThatOnlyThePartIsBlocked(Crashing.second(10).inPrompt(prompt));
    }

    /** Guards against streams that crash their endpoints only after their first events. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 300, 800})
    void aPartIsBlockedHoweverLateItCrashesEndpoints(double crashMillis) {
        assertThatOnlyThePartIsBlocked(Crashing.second(10).after(crashMillis));
    }

    /** Guards against a part that counts as sound because it was served before it began to crash endpoints. */
    @ParameterizedTest
    @ValueSource(strings = {"s7", "f5"})
    void aPartThatWasServedBeforeIsBlocked(String part) {
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay =
                    new PartReplay(SIZE.with(Crashing.second(5).inPrompt("*").named(part)), seed);
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash(part)).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.blockedParts()).contains(part);
        }
    }

    /** Guards against sound parts that are refused because they were in flight at crashes of other causes. */
    @ParameterizedTest
    @ValueSource(strings = {"twice within a second", "twice within ten seconds", "resets", "release"})
    void noPartIsBlockedWhereEndpointsCrashForOtherReasons(String fault) {
        double begunBefore = 0;
        double begun = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay baseline = new PartReplay(SIZE.with(PartPolicy.REQUESTS_ONLY), seed);
            PartReplay replay = new PartReplay(SIZE, seed);
            ordinaryFaults().get(fault).accept(baseline);
            ordinaryFaults().get(fault).accept(replay);
            baseline.advance(SECONDS);
            replay.advance(SECONDS);

            assertThat(replay.figures().everBlockedParts()).isEmpty();
            assertThat(replay.figures().quarantinedShare(0, SECONDS)).isLessThan(0.005);
            begunBefore += baseline.figures().begunShare(0, SECONDS, call -> true) / SEEDS;
            begun += replay.figures().begunShare(0, SECONDS, call -> true) / SEEDS;
        }
        System.out.printf("%s: begun at the first attempt %.3f, with the quarantine %.3f%n", fault, begunBefore, begun);
        assertThat(begun).isGreaterThan(begunBefore - 0.05);
    }

    /** Guards against two parts, or other crashes, that hide a part. */
    @Test
    void twoCrashingPartsAreBlockedBesideCrashesOfOtherCauses() {
        Crashing other = Crashing.second(3).named("worse").inPrompt("f0 ? *");
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay = new PartReplay(SIZE.with(Crashing.second(10), other), seed);
            crashAt(replay, 5, 7, 15);
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.figures().sentAfterFifthCrash("worse")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.blockedParts()).isEqualTo(Set.of("bad", "worse"));
        }
    }

    /** Guards against knowledge of crashes that is lost with a host, or that a host lacks. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "cut off during the crashes",
                "started after the crashes",
                "granting host lost",
                "all lost early",
                "all lost late"
            })
    void aCrashingPartIsRefusedByHostsThatWereLostOrCutOff(String fault) {
        for (double perSecond : new double[] {2, 10}) {
            for (long seed = 0; seed < SEEDS; seed++) {
                PartReplay replay = new PartReplay(SIZE.with(Crashing.second(perSecond)), seed);
                faultsOfHosts().get(fault).accept(replay);
                replay.advance(SECONDS);

                assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
                assertThat(replay.blockedParts()).isEqualTo(Set.of("bad"));
            }
        }
    }

    /** Guards against messages between hosts that are lost. */
    @Test
    void aCrashingPartIsBlockedWhereMessagesAreLost() {
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay = new PartReplay(SIZE.with(Crashing.second(10)).withLoss(0.2), seed);
            crashAt(replay, 15);
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.blockedParts()).isEqualTo(Set.of("bad"));
        }
    }

    /** Guards against a part that is refused although other software serves it. */
    @Test
    void aPartIsServedAgainByAVersionThatServesIt() {
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay = new PartReplay(SIZE.with(Crashing.second(5)), seed);
            replay.at(20, () -> replay.release(0.5, "v2"));
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.figures().answeredShare("bad", 8, 20)).isZero();
            assertThat(replay.figures().answeredShare("bad", 24, 40)).isGreaterThan(MIN_BEGUN_SHARE);
        }
    }

    /** Guards against a part that crashes each new version of the software a few times. */
    @Test
    void aPartThatIsNotMendedCrashesEachNewVersionOnce() {
        Crashing requests = Crashing.second(5).at("v1", "v2", "v3");
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay = new PartReplay(SIZE.with(requests), seed);
            replay.at(15, () -> replay.release(0.5, "v2"));
            replay.at(25, () -> replay.release(0.5, "v3"));
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
        }
    }

    private static Map<String, Consumer<PartReplay>> ordinaryFaults() {
        return Map.of(
                "twice within a second",
                replay -> crashAt(replay, 5, 5.8, 20, 28),
                "twice within ten seconds",
                replay -> crashAt(replay, 5, 13, 25, 31),
                "resets",
                CrashingPartReplayTest::resetConnections,
                "release",
                replay -> {
                    replay.at(8, () -> replay.release(0.5, "v1"));
                    replay.at(20, () -> replay.release(0.5, "v2"));
                    crashAt(replay, 10, 22);
                });
    }

    private static Map<String, Consumer<PartReplay>> faultsOfHosts() {
        return Map.of(
                "cut off during the crashes", replay -> replay.at(4.9, () -> replay.cutOff(0, 6)),
                "started after the crashes", replay -> replay.at(12, () -> replay.restartHost(1, 1)),
                "granting host lost", replay -> replay.at(5.5, () -> replay.restartGrantingHost(8)),
                "all lost early", replay -> replay.at(5.7, () -> replay.restartAllHosts(1)),
                "all lost late", replay -> replay.at(20, () -> replay.restartAllHosts(1)));
    }

    private static void crashAt(PartReplay replay, double... seconds) {
        for (double second : seconds) {
            replay.at(second, () -> replay.crashEndpoints(0.3));
        }
    }

    private static void resetConnections(PartReplay replay) {
        for (int i = 0; i < 20; i++) {
            int host = i % 8;
            replay.at(5 + i * 0.5, () -> replay.resetConnections(host, 0.5));
        }
    }

    private static void assertThatOnlyThePartIsBlocked(Crashing requests) {
        for (long seed = 0; seed < SEEDS; seed++) {
            PartReplay replay = new PartReplay(SIZE.with(requests), seed);
            replay.advance(SECONDS);

            assertThat(replay.figures().sentAfterFifthCrash("bad")).isLessThanOrEqualTo(MAX_SENT_AFTER_BOUND);
            assertThat(replay.blockedParts()).hasSize(1).allMatch(name -> name.contains("bad"));
            double before =
                    replay.figures().begunShare(1, 5, call -> call.sharedParts().contains("f0"));
            assertThat(replay.figures()
                            .begunShare(
                                    replay.figures().settledSeconds("bad"),
                                    SECONDS,
                                    call -> call.sharedParts().contains("f0")))
                    .isGreaterThan(MIN_BEGUN_SHARE * before);
        }
    }
}
