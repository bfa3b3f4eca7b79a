package org.gooseberryhill.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class RoutePolicyTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private final Random requestHashes = new Random(1);
    private final EndpointTable table = table(12);
    private final ServicePool pool = table.pool("s").orElseThrow();

    @Test
    void twoChoicesSpreadLoadEvenly() {
        RoutePolicy policy = new TwoChoicesPolicy();
        for (int i = 0; i < 48; i++) {
            table.recordStart(choose(policy, 0, Set.of()));
        }

        assertThat(pool.endpoints()).allMatch(endpoint -> endpoint.ownInFlight() >= 2 && endpoint.ownInFlight() <= 6);
    }

    @Test
    void requestsWithTheSamePrefixGoToTheSameEndpointUntilItIsLoaded() {
        RoutePolicy policy = new PrefixAffinityPolicy(new TwoChoicesPolicy(), 0.5);
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            chosen.add(choose(policy, 4711, Set.of()));
        }
        assertThat(chosen).hasSize(1);

        for (int i = 0; i < 16; i++) {
            table.recordStart(choose(policy, 4711, Set.of()));
        }
        assertThat(pool.endpoints().stream()
                        .mapToDouble(EndpointState::load)
                        .max()
                        .orElseThrow())
                .isLessThanOrEqualTo(0.75);
    }

    @Test
    void anEndpointThatFailedTheRequestIsNotChosenAgain() {
        for (RoutePolicy policy : new RoutePolicy[] {
            new RoundRobinPolicy(), new TwoChoicesPolicy(), new PrefixAffinityPolicy(new TwoChoicesPolicy(), 0.5)
        }) {
            Set<String> tried = new HashSet<>();
            for (int i = 0; i < 12; i++) {
                assertThat(tried.add(choose(policy, 4711, tried))).isTrue();
            }
            assertThat(policy.choose(pool, request(4711, tried), 0)).isEmpty();
        }
    }

    /** When an endpoint is added, most prompts keep their endpoint, so that the engines' prefix caches stay useful. */
    @Test
    void aNewEndpointTakesOnlyItsShareOfThePrefixes() {
        RoutePolicy policy = new PrefixAffinityPolicy(new RoundRobinPolicy(), 0.5);
        Map<Long, String> before = new HashMap<>();
        Random hashes = new Random(3);
        for (int i = 0; i < 1000; i++) {
            long hash = hashes.nextLong();
            before.put(hash, choose(policy, hash, Set.of()));
        }
        ServicePool larger = table(13).pool("s").orElseThrow();
        long moved = before.entrySet().stream()
                .filter(entry -> !policy.choose(larger, request(entry.getKey(), Set.of()), 0)
                        .orElseThrow()
                        .name()
                        .equals(entry.getValue()))
                .count();

        assertThat(moved).isLessThan(200);
    }

    /**
     * Guards against a request that crashes endpoints and is sent through all hosts at once: hosts with different views of
     * the load would send its copies to as many endpoints before the first crash is known.
     */
    @Test
    void equalRequestsReachAtMostThreeEndpointsWhateverEachHostKnowsOfTheLoad() {
        RoutePolicy policy = new PrefixAffinityPolicy(new TwoChoicesPolicy(), 0.5);
        Random loads = new Random(5);
        for (long prefixHash : new long[] {0, 4711}) {
            RouteRequest request = new RouteRequest(ZONE, prefixHash, 815, Set.of());
            Set<String> reached = new HashSet<>();
            for (int host = 0; host < 200; host++) {
                for (EndpointState endpoint : pool.endpoints()) {
                    table.recordReport(endpoint.name(), loads.nextInt(16), 0);
                }
                reached.add(policy.choose(pool, request, 0).orElseThrow().name());
            }

            assertThat(reached).hasSizeBetween(2, 3);
            assertThat(pool.candidates(request).stream().map(EndpointState::name))
                    .containsAll(reached);
        }
    }

    private String choose(RoutePolicy policy, long prefixHash, Set<String> tried) {
        return policy.choose(pool, request(prefixHash, tried), 0).orElseThrow().name();
    }

    private RouteRequest request(long prefixHash, Set<String> tried) {
        return new RouteRequest(ZONE, prefixHash, requestHashes.nextLong(), tried);
    }

    private static EndpointTable table(int endpoints) {
        StringBuilder text =
                new StringBuilder("models: {m: {version: \"1\"}}\nservices: {s: {model: m}}\nendpoints:\n");
        for (int i = 0; i < endpoints; i++) {
            text.append("  e%d: {service: s, address: \"10.0.0.1:%d\", zone: a, slots: 8}\n".formatted(i, 9000 + i));
        }
        Configuration configuration =
                ConfigurationReader.read("test", text.toString()).get();
        EndpointTable table = new EndpointTable();
        table.configure(configuration);
        return table;
    }
}
