package org.gooseberryhill.decision.promptpart;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.V1;
import static org.gooseberryhill.decision.promptpart.QuarantineFixture.prompt;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class ReplacedEndpointsTest {
    private static final int PORT = 8000;
    private static final long LOST_NANOS = TimeUnit.SECONDS.toNanos(100);
    private static final CrashedRun RUN =
            CrashedRun.of(prompt("a"), V1, LOST_NANOS).orElseThrow();

    private final ReplacedEndpoints endpoints = new ReplacedEndpoints(new HostId("h"));

    /** Guards against a crash that is not recognised since the successor accepts connections when the endpoint is checked. */
    @Test
    void anEndpointWhoseAddressASuccessorHasTakenHasCrashed() {
        endpoints.connectionsLost(entry("e-1", PORT, false), List.of(RUN), LOST_NANOS);

        assertThat(take(100, entry("e-1", PORT, false))).isEmpty();
        assertThat(take(150, entry("e-2", PORT, false))).singleElement().satisfies(crash -> {
            assertThat(crash.endpoint().id()).isEqualTo("e-1");
            assertThat(crash.atNanos()).isEqualTo(LOST_NANOS);
            assertThat(crash.runs()).containsExactly(RUN);
        });
        assertThat(take(200, entry("e-2", PORT, false))).isEmpty();
    }

    /** Guards against connections that were reset on the way and count as crashes because of a later restart. */
    @Test
    void aSuccessorThatRegistersLongAfterTheLossIsNoEvidence() {
        endpoints.connectionsLost(entry("e-1", PORT, false), List.of(RUN), LOST_NANOS);

        assertThat(take(2500, entry("e-2", PORT, false))).isEmpty();
    }

    /** Guards against planned ends of endpoints that count as crashes. */
    @Test
    void anEndpointThatWasLeavingHasNotCrashed() {
        endpoints.connectionsLost(entry("e-1", PORT, true), List.of(RUN), LOST_NANOS);

        assertThat(take(100, entry("e-2", PORT, false))).isEmpty();
    }

    @Test
    void anEndpointThatIsGoneWithoutASuccessorIsNoEvidence() {
        endpoints.connectionsLost(entry("e-1", PORT, false), List.of(RUN), LOST_NANOS);

        assertThat(take(100, entry("e-2", PORT + 1, false))).isEmpty();
    }

    private List<EndpointCrash> take(long afterMillis, EndpointEntry... directory) {
        return endpoints.takeCrashes(List.of(directory), LOST_NANOS + TimeUnit.MILLISECONDS.toNanos(afterMillis));
    }

    private static EndpointEntry entry(String id, int port, boolean leaving) {
        return new EndpointEntry(
                id, 0, "s", "v1", new Address("127.0.0.1", port), new AvailabilityZone("zone-a"), 8, leaving, 0);
    }
}
