package org.gooseberryhill.decision.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class GroupRoutingTest {
    private static final int ZONES = 5;

    private final List<Host> hosts = hosts(80);
    private final List<EndpointEntry> entries = entries(60);

    @Test
    void allHostsChooseTheSameCoordinators() {
        GroupRouting first = routing(hosts.get(0));
        for (Host host : hosts) {
            GroupRouting routing = routing(host);
            for (EndpointGroup group : first.groups().all()) {
                assertThat(routing.coordinator(group)).isEqualTo(first.coordinator(group));
            }
        }
    }

    @Test
    void theLossOfAHostMovesOnlyTheGroupsThatItCoordinated() {
        GroupRouting routing = routing(hosts.get(0));
        Map<EndpointGroup, Host> before = new HashMap<>();
        routing.groups().all().forEach(group -> before.put(group, routing.coordinator(group)));
        Host lost = before.get(routing.groups().of("s").get(1));
        routing.updateHosts(hosts.stream()
                .filter(host -> !host.equals(lost) && !host.equals(hosts.get(0)))
                .toList());

        before.forEach((group, host) -> {
            if (host.equals(lost)) {
                assertThat(routing.coordinator(group)).isNotEqualTo(lost);
            } else {
                assertThat(routing.coordinator(group)).isEqualTo(host);
            }
        });
    }

    @Test
    void hostsAskAGroupOfTheirZoneFirstAndAllGroupsAreUsed() {
        Map<EndpointGroup, Integer> uses = new HashMap<>();
        for (Host host : hosts) {
            GroupRouting routing = routing(host);
            EndpointGroup first = routing.next("s", Set.of(), 0).orElseThrow();
            uses.merge(first, 1, Integer::sum);
            assertThat(routing.members(first)).anyMatch(entry -> entry.zone().equals(host.zone()));
        }

        assertThat(uses).hasSameSizeAs(routing(hosts.get(0)).groups().of("s"));
    }

    /** Guards against requests that wait for a lost coordinator one after the other until it is replaced. */
    @Test
    void aCoordinatorThatDidNotAnswerIsPassedOverForAWhile() {
        GroupRouting routing = routing(hosts.get(0));
        EndpointGroup first = routing.next("s", Set.of(), 0).orElseThrow();

        routing.markUnresponsive(routing.coordinator(first).id(), 0);

        assertThat(routing.next("s", Set.of(), 0)).isPresent().isNotEqualTo(Optional.of(first));
        assertThat(routing.next("s", Set.of(), TimeUnit.SECONDS.toNanos(1))).contains(first);

        routing.markUnresponsive(routing.coordinator(first).id(), 0);
        routing.markResponsive(routing.coordinator(first).id());
        assertThat(routing.next("s", Set.of(), 0)).contains(first);
    }

    @Test
    void noGroupIsLeftOnceAllWereAsked() {
        GroupRouting routing = routing(hosts.get(0));

        assertThat(routing.next("s", Set.copyOf(routing.groups().of("s")), 0)).isEmpty();
        assertThat(routing.next("unknown", Set.of(), 0)).isEmpty();
    }

    private GroupRouting routing(Host self) {
        GroupRouting routing = new GroupRouting(self);
        routing.updateEndpoints(entries);
        routing.updateHosts(hosts.stream().filter(host -> !host.equals(self)).toList());
        return routing;
    }

    private static List<Host> hosts(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(new HostId("h" + i), Role.GATEWAY, zone(i), new Address("10.0.1.1", 8000 + i), false));
        }
        return hosts;
    }

    private static List<EndpointEntry> entries(int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(
                    new EndpointEntry("e" + i, 1, "s", "v1", new Address("10.0.0.1", 8000 + i), zone(i), 7, false, 0));
        }
        return entries;
    }

    private static AvailabilityZone zone(int number) {
        return new AvailabilityZone("z" + number % ZONES);
    }
}
