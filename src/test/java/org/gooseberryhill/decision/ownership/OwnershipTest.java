package org.gooseberryhill.decision.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class OwnershipTest {
    private final List<Host> hosts = hosts(9);

    @Test
    void ownerDoesNotDependOnTheOrderOfTheHosts() {
        List<Host> shuffled = new ArrayList<>(hosts);
        Collections.shuffle(shuffled, new Random(1));

        for (int i = 0; i < 100; i++) {
            assertThat(Ownership.owner("key" + i, Optional.empty(), shuffled))
                    .isEqualTo(Ownership.owner("key" + i, Optional.empty(), hosts));
        }
    }

    @Test
    void lossOfAHostMovesOnlyTheKeysThatItOwned() {
        List<Host> fewer = hosts.subList(1, hosts.size());
        for (int i = 0; i < 500; i++) {
            Host before = Ownership.owner("key" + i, Optional.empty(), hosts).orElseThrow();
            Host after = Ownership.owner("key" + i, Optional.empty(), fewer).orElseThrow();
            assertThat(after.equals(before) || before.equals(hosts.get(0))).isTrue();
        }
    }

    @Test
    void keysAreSpreadEvenlyOverTheHosts() {
        Map<HostId, Integer> owned = new HashMap<>();
        for (int i = 0; i < 9000; i++) {
            Host owner = Ownership.owner("key" + i, Optional.empty(), hosts).orElseThrow();
            owned.merge(owner.id(), 1, Integer::sum);
        }

        assertThat(owned.values()).allMatch(count -> count > 850 && count < 1150);
    }

    @Test
    void endpointIsOwnedByAStewardOfItsZoneIfThereIsOne() {
        AvailabilityZone zone = new AvailabilityZone("b");

        assertThat(Ownership.ownerOfEndpoint("e", zone, hosts).orElseThrow().zone())
                .isEqualTo(zone);
        List<Host> others =
                hosts.stream().filter(host -> !host.zone().equals(zone)).toList();
        assertThat(Ownership.ownerOfEndpoint("e", zone, others)).isPresent();
    }

    @Test
    void leavingHostOwnsNothingIfAnotherHostIsPresent() {
        Host owner = Ownership.owner("key", Optional.empty(), hosts).orElseThrow();
        List<Host> view = hosts.stream()
                .map(host -> host.equals(owner) ? host.asLeaving() : host)
                .toList();

        assertThat(Ownership.owner("key", Optional.empty(), view).orElseThrow().id())
                .isNotEqualTo(owner.id());
    }

    @Test
    void copiesAreInDifferentZones() {
        for (int i = 0; i < 200; i++) {
            List<Host> copies = Ownership.copyHolders("segment" + i, 2, hosts);
            assertThat(copies.stream().map(Host::zone).distinct()).hasSize(2);
        }
        assertThat(Ownership.copyHolders("segment", 2, hosts.subList(0, 1))).hasSize(1);
    }

    private static List<Host> hosts(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = new AvailabilityZone(String.valueOf((char) ('a' + i % 3)));
            Address address = new Address("10.0.0.1", 1000 + i);
            hosts.add(new Host(new HostId("h" + i), Role.STEWARD, zone, address, false));
        }
        return hosts;
    }
}
