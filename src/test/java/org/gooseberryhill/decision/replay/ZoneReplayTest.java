package org.gooseberryhill.decision.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks what sending requests to other zones only when it pays is worth, against sending them to any zone and against sending
 * them whenever the own zone is full, under the same arrivals.
 */
class ZoneReplayTest {
    private static final int SEEDS = Integer.getInteger("replay.seeds", 2);
    private static final List<Integer> THREE_ZONES = List.of(21, 21, 21);
    private static final List<Integer> FOUR_ZONES = List.of(23, 22, 22, 22);
    private static final double SECONDS = 12;
    private static final double LONGEST_CALL_MILLIS = 6000;
    private static final double PERIOD_MILLIS = 6000;
    private static final double TROUGH_MILLIS = 3600;

    /** The operators want fewer than one request in ten to leave its zone at normal load. */
    private static final double MAX_CROSSED_AT_NORMAL_LOAD = 0.1;

    /** Two standard deviations of the difference between the shares of two replays of some thousand streams. */
    private static final double RANDOM_DIFFERENCE = 0.01;

    @ParameterizedTest
    @EnumSource(Load.class)
    void noFewerStreamsAreOnTimeThanIfTheyWentToAnyZoneAndFewerLeaveTheirZone(Load load) {
        Map<ReplayZonePolicy, List<ServingReplay>> replays = replay(load);
        List<ServingReplay> pays = replays.get(ReplayZonePolicy.WHEN_IT_PAYS);
        List<ServingReplay> any = replays.get(ReplayZonePolicy.ANY_ZONE);

        assertThat(mean(pays, ZoneReplayTest::onTimeShare))
                .isGreaterThanOrEqualTo(mean(any, ZoneReplayTest::onTimeShare) - RANDOM_DIFFERENCE);
        assertThat(mean(pays, ZoneReplayTest::crossedShare))
                .isLessThanOrEqualTo(mean(any, ZoneReplayTest::crossedShare) + RANDOM_DIFFERENCE);
        if (load.normal) {
            assertThat(mean(pays, ZoneReplayTest::crossedShare)).isLessThan(MAX_CROSSED_AT_NORMAL_LOAD);
            assertThat(mean(pays, ZoneReplayTest::onTimeShare)).isGreaterThan(0.99);
        }
        if (load.coordinatorsAnswer) {
            assertThat(pays)
                    .allSatisfy(replay ->
                            assertThat(replay.counts().crossedBothWays).isZero());
        }
    }

    /** Guards against requests that still leave when their zone has had room again for some time. */
    @Test
    void requestsLeaveWhileTheLoadPeakLastsAndStayInTheTrough() {
        for (ServingReplay replay : replay(Load.DEMAND_1_2, ReplayZonePolicy.WHEN_IT_PAYS)) {
            long crossed = replay.counts().crossedMillis.size();
            long late = replay.counts().crossedMillis.stream()
                    .mapToDouble(atMillis -> replay.elapsedMillis(atMillis) % PERIOD_MILLIS)
                    .filter(millis -> millis > TROUGH_MILLIS / 3 && millis < TROUGH_MILLIS)
                    .count();

            assertThat(crossed).isPositive();
            assertThat(late).isZero();
        }
    }

    private static Map<ReplayZonePolicy, List<ServingReplay>> replay(Load load) {
        Map<ReplayZonePolicy, List<ServingReplay>> replays = new EnumMap<>(ReplayZonePolicy.class);
        Arrays.stream(ReplayZonePolicy.values()).forEach(policy -> {
            List<ServingReplay> ofPolicy = replay(load, policy);
            replays.put(policy, ofPolicy);
            System.out.printf(
                    Locale.ROOT,
                    "%s, %s: on time %.4f, served %.4f, left their zone %.4f, crossed both ways %.0f, messages %.0f%n",
                    load,
                    policy,
                    mean(ofPolicy, ZoneReplayTest::onTimeShare),
                    mean(ofPolicy, replay -> replay.result().servedShare()),
                    mean(ofPolicy, ZoneReplayTest::crossedShare),
                    mean(ofPolicy, replay -> replay.counts().crossedBothWays),
                    mean(ofPolicy, replay -> replay.counts().messages));
        });
        return replays;
    }

    private static List<ServingReplay> replay(Load load, ReplayZonePolicy policy) {
        return LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    ReplaySize size = new ReplaySize(
                            load.hosts,
                            load.zones.endpointCount(),
                            load.zones.count(),
                            8,
                            10,
                            20,
                            140,
                            load.zones.count() == 4 ? 304 : 280,
                            0);
                    ServingReplay replay = new ServingReplay(size, load.zones, ReplayPolicies.withZones(policy), seed);
                    load.load.accept(replay);
                    replay.clock().advance(LONGEST_CALL_MILLIS);
                    return replay;
                })
                .toList();
    }

    private static double onTimeShare(ServingReplay replay) {
        return replay.result().onTimeShare();
    }

    private static double crossedShare(ServingReplay replay) {
        return replay.counts().crossedShare();
    }

    private static double mean(List<ServingReplay> replays, ToDoubleFunction<ServingReplay> figure) {
        return replays.stream().mapToDouble(figure).average().orElseThrow();
    }

    private static void afterThreeSeconds(ServingReplay replay, double factor, Runnable failure) {
        replay.load(3, factor);
        failure.run();
        replay.load(SECONDS - 3, factor);
    }

    /** A load of a deployment, with a failure in some. */
    enum Load {
        DEMAND_1(true, THREE_ZONES, 1),
        DEMAND_1_2(false, THREE_ZONES, 1.2),
        DEMAND_2(false, THREE_ZONES, 2),
        DEMAND_5(false, THREE_ZONES, 5),
        FULL_SIZE(true, List.of(30, 30, 29), 1),
        FOUR_ZONES_1(true, FOUR_ZONES, 1),
        FOUR_ZONES_1_8(false, FOUR_ZONES, 1.8),
        HOSTS_17(false, 17, THREE_ZONES, OptionalInt.empty(), true, replay -> replay.load(SECONDS, 1.2)),
        HOSTS_300(false, 300, THREE_ZONES, OptionalInt.empty(), true, replay -> replay.load(SECONDS, 1.2)),
        WAVE_IN_ONE_ZONE(false, 72, THREE_ZONES, OptionalInt.of(2), true, replay -> replay.load(SECONDS, 1.5)),
        HALF_A_ZONE(false, List.of(21, 10, 21), 1),
        NO_ENDPOINT_IN_A_ZONE(false, List.of(21, 0, 21), 0.8),
        ENDPOINTS_OF_A_ZONE_LOST(
                false,
                72,
                THREE_ZONES,
                OptionalInt.empty(),
                false,
                replay -> afterThreeSeconds(replay, 0.8, () -> replay.loseEndpoints(1))),
        SLOW_LINK(false, 72, THREE_ZONES, OptionalInt.empty(), true, replay -> {
            replay.network().slowDown(replay.zone(0), replay.zone(2), 10);
            replay.load(SECONDS, 1.2);
        }),
        CUT_LINK(
                false,
                72,
                THREE_ZONES,
                OptionalInt.empty(),
                true,
                replay -> afterThreeSeconds(
                        replay, 1.2, () -> replay.network().cut(replay.zone(0), replay.zone(2), 9000))),
        OLD_LOADS(false, 72, THREE_ZONES, OptionalInt.empty(), true, replay -> {
            replay.network().delayLoads(2000);
            replay.load(SECONDS, 1.2);
        }),
        COORDINATOR_LOST(
                false,
                72,
                THREE_ZONES,
                OptionalInt.empty(),
                false,
                replay -> afterThreeSeconds(replay, 1.2, replay::loseCoordinator)),
        /** Three zones of 12 endpoints, of which one starts and ends, so that the groups follow the zones and do not, in turn. */
        AROUND_THE_LIMIT(false, 72, List.of(12, 12, 12), OptionalInt.empty(), false, replay -> {
            for (int i = 0; i < SECONDS; i++) {
                int endpoints = replay.entries().size() - i % 2;
                replay.setEndpoints(replay.entries().subList(0, endpoints));
                replay.load(1, 0.5);
            }
        });

        private final boolean normal;
        private final int hosts;
        private final ReplayZones zones;
        private final boolean coordinatorsAnswer;
        private final Consumer<ServingReplay> load;

        Load(boolean normal, List<Integer> endpoints, double factor) {
            this(normal, 72, endpoints, OptionalInt.empty(), true, replay -> replay.load(SECONDS, factor));
        }

        Load(
                boolean normal,
                int hosts,
                List<Integer> endpoints,
                OptionalInt waveZone,
                boolean coordinatorsAnswer,
                Consumer<ServingReplay> load) {
            boolean four = endpoints.size() == 4;
            this.normal = normal;
            this.hosts = hosts;
            this.zones = new ReplayZones(
                    endpoints,
                    four ? List.of(158.0, 190.0, 192.0, 180.0) : List.of(158.0, 190.0, 192.0),
                    four ? 0.9 : 0.5,
                    waveZone);
            this.coordinatorsAnswer = coordinatorsAnswer;
            this.load = load;
        }
    }
}
