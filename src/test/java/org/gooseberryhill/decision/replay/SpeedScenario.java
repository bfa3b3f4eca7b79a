package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Loads and failures on endpoints that differ in speed, as in the sites in use. Immutable.
 *
 * @param hosts number of hosts; there are about as many endpoints, with eight slots each
 */
record SpeedScenario(int hosts) {
    private static final List<Double> SPEEDS = List.of(0.6, 1.0, 1.6);
    private static final double SPELL_SHARE = 0.15;
    private static final double SPELL_SLOWDOWN = 2.5;
    private static final double SPELL_MILLIS = 600;
    private static final double MEAN_SPELL_GAP_MILLIS = 2000;
    private static final int ZONES = 3;
    private static final int SLOTS = 8;

    /** The rates of the deployment with 62 endpoints and 280 streams a second. */
    private static final double STREAMS_PER_ENDPOINT = 4.52;

    private static final double BATCHES_PER_ENDPOINT = 0.0554;

    /** Creates a replay whose endpoints are equally fast. */
    ServingReplay equalEndpoints(ReplayPolicies policies, long seed) {
        int endpoints = hosts + ZONES - hosts % ZONES;
        ReplaySize size = new ReplaySize(
                hosts,
                endpoints,
                ZONES,
                SLOTS,
                8,
                25,
                173,
                STREAMS_PER_ENDPOINT * endpoints,
                BATCHES_PER_ENDPOINT * endpoints);
        return new ServingReplay(size, policies, seed);
    }

    /** Creates a replay whose endpoints run at 0.6, 1.0 or 1.6 times the usual speed, and some at times still slower. */
    ServingReplay unevenEndpoints(ReplayPolicies policies, long seed) {
        ServingReplay replay = equalEndpoints(policies, seed);
        Random random = new Random(seed);
        List<ReplayEndpoint> endpoints = replay.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            double usual = 1 / speed(i);
            endpoints.get(i).setSlowdown(() -> usual);
            if (random.nextDouble() < SPELL_SHARE) {
                scheduleSpell(replay, endpoints.get(i), usual, random);
            }
        }
        return replay;
    }

    /** Returns the speed of an endpoint; each zone has endpoints of each speed. */
    static double speed(int endpoint) {
        return SPEEDS.get((endpoint / ZONES + endpoint) % SPEEDS.size());
    }

    /** Ends a third of the endpoints at the same moment. */
    static void loseThirdOfEndpoints(ServingReplay replay) {
        List<ReplayEndpoint> all = replay.endpoints();
        IntStream.range(0, all.size()).filter(i -> i % ZONES == 0).forEach(i -> replay.lose(all.get(i)));
    }

    private static void scheduleSpell(ServingReplay replay, ReplayEndpoint endpoint, double usual, Random random) {
        replay.clock().schedule(MEAN_SPELL_GAP_MILLIS * (0.5 + random.nextDouble()), () -> {
            endpoint.setSlowdown(() -> usual * SPELL_SLOWDOWN);
            replay.clock().schedule(SPELL_MILLIS, () -> {
                endpoint.setSlowdown(() -> usual);
                scheduleSpell(replay, endpoint, usual, random);
            });
        });
    }
}
