package org.gooseberryhill.decision.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.junit.jupiter.api.Test;

class EndpointProbeTest {
    private static final Route SAFE = DispatchFixture.route(RouteKind.SAFE, false, 3);

    private final DispatchFixture fixture = new DispatchFixture(4);

    /**
     * An endpoint becomes unreachable. One request detects it and loses the time of a connection attempt. After each
     * ejection the host probes the endpoint with a connection of its own, so that no other caller has to wait for it.
     */
    @Test
    void anUnreachableEndpointDelaysOnlyOneRequest() {
        int affected = 0;
        int probes = 0;
        for (int step = 0; step < 400; step++) {
            RoutedRequest request = fixture.arrive(SAFE);
            DispatchDecision decision = fixture.dispatch(request);
            if (endpoint(decision).equals("e0")) {
                affected++;
                decision = fixture.failed(request, AttemptEnd.UNREACHABLE);
            }
            fixture.core.attemptSucceeded(request, fixture.nowNanos);
            for (FleetEndpoint due : fixture.fleet.startDueProbes(fixture.nowNanos)) {
                probes++;
                fixture.fleet.probeEnded(due.key(), false, fixture.nowNanos);
            }
            fixture.advanceMillis(25);
        }
        assertThat(affected).isEqualTo(1);
        assertThat(probes).isBetween(3, 5);
    }

    @Test
    void anEndpointGetsRequestsAgainAfterASuccessfulProbe() {
        makeUnreachable();
        fixture.advanceMillis(500);
        List<FleetEndpoint> due = fixture.fleet.startDueProbes(fixture.nowNanos);
        assertThat(due).extracting(endpoint -> endpoint.key().id()).containsExactly("e0");
        assertThat(fixture.fleet.startDueProbes(fixture.nowNanos)).isEmpty();

        fixture.fleet.probeEnded(due.get(0).key(), true, fixture.nowNanos);

        assertThat(fixture.endpoint("e0").isUsable(fixture.nowNanos)).isTrue();
    }

    /** Another endpoint has the address: a probe would connect to it and prove nothing. */
    @Test
    void anEndpointWhoseAddressWasReassignedIsEjectedForATimeAndNotProbed() {
        RoutedRequest request = request("e0");
        fixture.failed(request, AttemptEnd.OTHER_ENDPOINT);
        assertThat(fixture.endpoint("e0").isUsable(fixture.nowNanos)).isFalse();

        fixture.advanceMillis(500);
        assertThat(fixture.fleet.startDueProbes(fixture.nowNanos)).isEmpty();
        assertThat(fixture.endpoint("e0").isUsable(fixture.nowNanos)).isTrue();
    }

    /** This host cannot reach any endpoint: it keeps sending requests to half, as it cannot tell the cause. */
    @Test
    void noMoreThanHalfOfTheEndpointsAreEjected() {
        for (int i = 0; i < 8; i++) {
            RoutedRequest request = fixture.arrive(SAFE);
            DispatchDecision decision = fixture.dispatch(request);
            while (decision instanceof DispatchDecision.Send) {
                decision = fixture.failed(request, AttemptEnd.UNREACHABLE);
            }
        }
        long usable = fixture.fleet.endpointsOf(DispatchFixture.SERVICE).stream()
                .filter(endpoint -> endpoint.isUsable(fixture.nowNanos))
                .count();
        assertThat(usable).isEqualTo(2);
    }

    private void makeUnreachable() {
        fixture.failed(request("e0"), AttemptEnd.UNREACHABLE);
    }

    private RoutedRequest request(String endpoint) {
        List<RoutedRequest> others = new ArrayList<>();
        while (true) {
            RoutedRequest request = fixture.arrive(SAFE);
            if (endpoint(fixture.dispatch(request)).equals(endpoint)) {
                others.forEach(other -> fixture.core.attemptSucceeded(other, fixture.nowNanos));
                return request;
            }
            others.add(request);
        }
    }

    private static String endpoint(DispatchDecision decision) {
        return ((DispatchDecision.Send) decision).endpoint().id();
    }
}
