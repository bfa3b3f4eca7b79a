package org.gooseberryhill.decision.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.gooseberryhill.decision.dispatch.UniformEndpointSpeeds;
import org.gooseberryhill.directory.EndpointGroup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the effect of observed speeds of endpoints on callers, who need the first event within 300 ms of their first
 * attempt and no pause above 400 ms. Each load is replayed with observed speeds and with the baseline, under the same
 * arrivals. {@code replay.seeds} makes the run longer.
 */
class EndpointSpeedReplayTest {
    private static final int SEEDS = Integer.getInteger("replay.seeds", 2);
    private static final ReplayPolicies OBSERVED = ReplayPolicies.PRODUCT;
    private static final ReplayPolicies UNIFORM = ReplayPolicies.withSpeeds(UniformEndpointSpeeds::new);

    private static final double NEARLY_ALL = 0.999;

    /** Load periods last 6 s. */
    private static final double SECONDS = 12;

    /** A replay of 300 hosts takes as long as ten of 72 hosts, so CI runs one seed of one load period. */
    private static final int LARGE_HOSTS = 300;

    private static final int LARGE_SEEDS = Math.max(1, SEEDS / 2);

    /** Peaks take nearly all slots of uneven endpoints. */
    private static final double HEAVY = 1.3;

    /** Guards against requests that wait at a slow endpoint while a faster one would serve them earlier. */
    @ParameterizedTest
    @ValueSource(ints = {17, 72, LARGE_HOSTS})
    void onUnevenEndpointsMoreCallersAreServedInTime(int hosts) {
        SpeedScenario scenario = new SpeedScenario(hosts);
        Comparison heavy = compare(
                "uneven, heavy", hosts, scenario::unevenEndpoints, replay -> replay.load(seconds(hosts), HEAVY));

        assertThat(heavy.observed()).isGreaterThan(heavy.uniform());
    }

    /** Guards against callers who are served later where the baseline already serves nearly all in time. */
    @ParameterizedTest
    @ValueSource(ints = {17, 72})
    void onUnevenEndpointsAtNormalLoadNoFewerCallersAreServedInTime(int hosts) {
        SpeedScenario scenario = new SpeedScenario(hosts);
        Comparison normal = compare("uneven", hosts, scenario::unevenEndpoints, replay -> replay.load(SECONDS, 1));

        // Among thousands of callers, single ones are no difference.
        assertThat(normal.observed()).isGreaterThanOrEqualTo(Math.min(normal.uniform(), NEARLY_ALL));
    }

    /** Guards against a request that costs more, and items that yield more, where nothing is to be gained. */
    @ParameterizedTest
    @ValueSource(ints = {17, 72, LARGE_HOSTS})
    void onEndpointsOfEqualSpeedNothingChanges(int hosts) {
        for (long seed = 1; seed <= seeds(hosts); seed++) {
            ServingReplay uniform = new SpeedScenario(hosts).equalEndpoints(UNIFORM, seed);
            ServingReplay observed = new SpeedScenario(hosts).equalEndpoints(OBSERVED, seed);
            for (ServingReplay replay : List.of(uniform, observed)) {
                replay.load(seconds(hosts), HEAVY);
                replay.finish();
            }

            assertThat(observed.result()).isEqualTo(uniform.result());
            assertThat(observed.counts()).hasToString(uniform.counts().toString());
        }
    }

    /** Guards against endpoints that look slow because the hosts that measure them were paused. */
    @Test
    void pausesOfHostsDoNotMakeEndpointsOfEqualSpeedDiffer() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            List<String> outcomes = new ArrayList<>();
            for (ReplayPolicies policies : List.of(UNIFORM, OBSERVED)) {
                ServingReplay replay = new SpeedScenario(17).equalEndpoints(policies, seed);
                pauseHosts(replay, new Random(seed));
                replay.load(SECONDS, 1);
                replay.finish();
                outcomes.add(replay.result() + " " + replay.counts());
            }

            assertThat(outcomes.get(1)).isEqualTo(outcomes.get(0));
        }
    }

    /** Guards against forecasts that hold for even zones only. */
    @Test
    void zonesWithUnequalDemandAreServedAtLeastAsWell() {
        SpeedScenario scenario = new SpeedScenario(72);
        Comparison shares = compare("zones of 158:190:192", 72, scenario::unevenEndpoints, replay -> {
            replay.setDemandByZone(List.of(158.0 / 192, 190.0 / 192, 1.0));
            replay.load(SECONDS, HEAVY);
        });

        assertThat(shares.observed()).isGreaterThan(shares.uniform());
    }

    @ParameterizedTest
    @ValueSource(ints = {17, 72})
    void afterTheLossOfAThirdOfTheEndpointsAtLeastAsManyAreServedInTime(int hosts) {
        SpeedScenario scenario = new SpeedScenario(hosts);
        Comparison shares = compare("a third of the endpoints lost", hosts, scenario::unevenEndpoints, replay -> {
            replay.load(6, 1);
            SpeedScenario.loseThirdOfEndpoints(replay);
            replay.load(SECONDS, 1);
        });

        assertThat(shares.observed()).isGreaterThan(shares.uniform());
    }

    /** Guards against speeds that are lost with their coordinator for longer than some seconds. */
    @ParameterizedTest
    @ValueSource(ints = {17, 72})
    void theSuccessorOfALostCoordinatorLearnsTheSpeedsAgain(int hosts) {
        SpeedScenario scenario = new SpeedScenario(hosts);
        EndpointGroup group = new EndpointGroup(ServingReplay.SERVICE, 0);
        double learnedMillis = 3000;
        Comparison shares = compare(
                "coordinator lost",
                hosts,
                scenario::unevenEndpoints,
                replay -> {
                    replay.load(6, HEAVY);
                    replay.lose(replay.hosts().stream()
                            .filter(host -> host.coordinates(group))
                            .findFirst()
                            .orElseThrow());
                    replay.load(SECONDS, HEAVY);
                },
                call -> call.secondsAfterStart() >= 6 + learnedMillis / 1000);

        assertThat(shares.observed()).isGreaterThan(shares.uniform());
    }

    /** Guards against an endpoint that looks fast because it answers at once with errors, and attracts requests. */
    @Test
    void anEndpointThatAnswersWithErrorsGetsFewerRequestsThanOthers() {
        SpeedScenario scenario = new SpeedScenario(17);
        List<Double> arrivals = new ArrayList<>();
        Comparison shares = compare("an endpoint with errors", 17, scenario::unevenEndpoints, replay -> {
            replay.load(6, 1);
            ReplayEndpoint failing = replay.endpoints().get(0);
            failing.setFailing(true);
            arrivals.add(shareOfMeanArrivals(replay, failing, SECONDS));
        });

        assertThat(shares.observed()).isGreaterThanOrEqualTo(Math.min(shares.uniform(), NEARLY_ALL));
        double observed =
                arrivals.subList(SEEDS, 2 * SEEDS).stream().collect(Collectors.averagingDouble(Double::doubleValue));
        assertThat(observed).isLessThan(1);
    }

    /** Guards against a slow period of which the coordinator learns only when it is over. */
    @Test
    void anEndpointThatIsSlowForHalfASecondGetsFewerRequestsWithinThatTime() {
        List<Double> shares = new ArrayList<>();
        for (ReplayPolicies policies : List.of(UNIFORM, OBSERVED)) {
            double sum = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                ServingReplay replay = new SpeedScenario(17).equalEndpoints(policies, seed);
                for (ReplayEndpoint endpoint : replay.endpoints()) {
                    replay.load(1.5, 1);
                    endpoint.setSlowdown(() -> 2.5);
                    replay.load(0.25, 1);
                    sum += shareOfMeanArrivals(replay, endpoint, 0.35);
                    endpoint.setSlowdown(() -> 1);
                }
            }
            shares.add(sum / SEEDS / 18);
        }
        System.out.printf(
                "new requests in the last 350 of 600 slow ms, of those of other endpoints: one mean %.2f, observed %.2f%n",
                shares.get(0), shares.get(1));

        assertThat(shares.get(1)).isLessThan(0.75);
    }

    /** Guards against hosts that all send to the endpoint that looks best. */
    @ParameterizedTest
    @ValueSource(ints = {17, 72})
    void noEndpointGetsMoreThanCallersCanWaitForWhileOthersHaveRoom(int hosts) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ServingReplay replay = new SpeedScenario(hosts).unevenEndpoints(OBSERVED, seed);
            replay.load(SECONDS, 1);

            // Behind three requests at a full endpoint of the usual speed a request waits for about 280 ms.
            assertThat(replay.endpoints())
                    .allSatisfy(endpoint -> assertThat(endpoint.mostQueued()).isLessThanOrEqualTo(3));
        }
    }

    /** Guards against a slow endpoint that never gets requests again, where each zone has only one. */
    @Test
    void aServiceWithOneEndpointInEachZoneUsesAllOfThem() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ReplaySize size = new ReplaySize(6, 3, 3, 8, 8, 25, 173, 13.5, 0.16);
            ServingReplay replay = new ServingReplay(size, OBSERVED, seed);
            replay.endpoints().get(0).setSlowdown(() -> 2.5);
            replay.load(2 * SECONDS, 1);
            int all = arrivals(replay);

            assertThat(replay.endpoints())
                    .allSatisfy(endpoint -> assertThat(endpoint.arrivals()).isGreaterThan(all / 20));
        }
    }

    private static void pauseHosts(ServingReplay replay, Random random) {
        replay.clock().schedule(300, () -> {
            replay.hosts().get(random.nextInt(replay.hosts().size())).process().pause(400);
            pauseHosts(replay, random);
        });
    }

    private static Comparison compare(
            String name,
            int hosts,
            BiFunction<ReplayPolicies, Long, ServingReplay> scenario,
            Consumer<ServingReplay> load) {
        return compare(name, hosts, scenario, load, call -> true);
    }

    /** Replays a load with the baseline first and then with observed speeds. */
    private static Comparison compare(
            String name,
            int hosts,
            BiFunction<ReplayPolicies, Long, ServingReplay> scenario,
            Consumer<ServingReplay> load,
            Predicate<ReplayCall> counted) {
        List<Double> shares = new ArrayList<>();
        for (ReplayPolicies policies : List.of(UNIFORM, OBSERVED)) {
            shares.add(LongStream.rangeClosed(1, seeds(hosts))
                    .mapToDouble(seed -> {
                        ServingReplay replay = scenario.apply(policies, seed);
                        load.accept(replay);
                        replay.finish();
                        return replay.calls().stream()
                                .filter(counted)
                                .collect(Collectors.averagingInt(call -> call.isServedInTime() ? 1 : 0));
                    })
                    .average()
                    .orElseThrow());
        }
        Comparison comparison = new Comparison(shares.get(0), shares.get(1));
        System.out.printf(
                "%s, %d hosts: served in time with one mean %.4f, with observed speeds %.4f%n",
                name, hosts, comparison.uniform(), comparison.observed());
        return comparison;
    }

    private static int seeds(int hosts) {
        return hosts == LARGE_HOSTS ? LARGE_SEEDS : SEEDS;
    }

    private static double seconds(int hosts) {
        return hosts == LARGE_HOSTS ? SECONDS / 2 : SECONDS;
    }

    /** Replays the usual load and returns the arrivals at an endpoint as a share of the mean of all. */
    private static double shareOfMeanArrivals(ServingReplay replay, ReplayEndpoint endpoint, double seconds) {
        int before = endpoint.arrivals();
        int allBefore = arrivals(replay);
        replay.load(seconds, 1);
        double mean =
                (double) (arrivals(replay) - allBefore) / replay.endpoints().size();
        return (endpoint.arrivals() - before) / mean;
    }

    private static int arrivals(ServingReplay replay) {
        return replay.endpoints().stream().mapToInt(ReplayEndpoint::arrivals).sum();
    }

    /** Shares of the callers who were served in time. */
    private record Comparison(double uniform, double observed) {}
}
