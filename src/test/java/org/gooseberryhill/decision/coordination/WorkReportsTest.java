package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class WorkReportsTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final EndpointKey E0 = new EndpointKey("e0", 1);

    private final GroupRouting routing = new GroupRouting(host("self"));
    private final WorkReports reports = new WorkReports(routing);

    WorkReportsTest() {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            entries.add(new EndpointEntry("e" + i, 1, "s", "v1", new Address("10.0.0.1", 8000 + i), ZONE, 4, false, 0));
        }
        routing.updateEndpoints(entries);
        routing.updateHosts(List.of(host("a"), host("b"), host("c"), host("d")));
    }

    /** Guards against slots that stay taken for what an earlier process of this host had in flight. */
    @Test
    void theFirstReportsGoToAllCoordinators() {
        assertThat(reports.compose(Map.of(), List.of()).keySet())
                .containsExactlyInAnyOrderElementsOf(reports.coordinatorsOf("s"));
        assertThat(reports.compose(Map.of(), List.of())).isEmpty();
    }

    @Test
    void aCoordinatorGetsWhatIsInFlightAtItsEndpointsAndOnceMoreWhenThatHasEnded() {
        reports.compose(Map.of(), List.of());
        Host coordinator = routing.coordinatorOf(E0).orElseThrow();
        ItemStart start = new ItemStart(0, 1, E0, new ItemTiming(1, 2, 3, false));
        reports.reservationReceived(coordinator.id(), 7);

        Map<Host, HostWork> busy = reports.compose(Map.of(E0, new InFlight(2, 1)), List.of(start));
        Map<Host, HostWork> idle = reports.compose(Map.of(), List.of());

        assertThat(busy).containsOnly(Map.entry(coordinator, new HostWork(7, Map.of(E0, 2), List.of(start))));
        assertThat(idle).containsOnly(Map.entry(coordinator, new HostWork(7, Map.of(), List.of())));
        assertThat(reports.compose(Map.of(), List.of())).isEmpty();
    }

    private static Host host(String id) {
        return new Host(new HostId(id), Role.GATEWAY, ZONE, new Address("10.0.1.1", 8000), false);
    }
}
