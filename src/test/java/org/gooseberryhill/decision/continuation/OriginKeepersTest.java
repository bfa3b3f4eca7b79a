package org.gooseberryhill.decision.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class OriginKeepersTest {
    private static final int LARGE_FLEET = 300;
    private static final int MAX_CONNECTED = 48;
    private static final int STREAMS = 1000;

    private final OriginKeepers keepers = new OriginKeepers();

    @Test
    void aStreamIsKeptInThreeZones() {
        keepers.updateHosts(hosts(9));

        for (int i = 0; i < STREAMS; i++) {
            assertThat(keepers.keepersOf("r" + i).stream().map(Host::zone))
                    .hasSize(3)
                    .doesNotHaveDuplicates();
        }
    }

    /** Guards against a stream that is forgotten because the hosts that begin it and that continue it see other hosts. */
    @Test
    void hostsThatDoNotSeeThemselvesAskAHostThatWasTold() {
        List<Host> all = hosts(8);
        for (int begins = 0; begins < all.size(); begins++) {
            for (int continues = 0; continues < all.size(); continues++) {
                OriginKeepers teller = keepersOfOthers(all, begins);
                OriginKeepers asker = keepersOfOthers(all, continues);
                for (int i = 0; i < 50; i++) {
                    Set<Host> reached = new HashSet<>(asker.keepersOf("r" + i));
                    reached.add(all.get(continues));
                    assertThat(teller.keepersOf("r" + i)).anyMatch(reached::contains);
                }
            }
        }
    }

    /** Guards against connections to all hosts from each host. */
    @Test
    void aHostInALargeFleetTellsFewOthers() {
        keepers.updateHosts(hosts(LARGE_FLEET));
        Set<Host> told = new HashSet<>();
        for (int i = 0; i < STREAMS; i++) {
            told.addAll(keepers.keepersOf("r" + i));
        }

        assertThat(told).hasSizeLessThanOrEqualTo(MAX_CONNECTED);
    }

    @Test
    void allHostsAreCandidatesAndThoseThatWereToldComeFirst() {
        keepers.updateHosts(hosts(8));

        assertThat(keepers.candidates("r").subList(0, 3)).isEqualTo(keepers.keepersOf("r"));
        assertThat(keepers.candidates("r")).containsExactlyInAnyOrderElementsOf(hosts(8));
    }

    @Test
    void aHostWithoutOthersTellsNobody() {
        assertThat(keepers.keepersOf("r")).isEmpty();
    }

    private static OriginKeepers keepersOfOthers(List<Host> all, int self) {
        List<Host> others = new ArrayList<>(all);
        others.remove(self);
        OriginKeepers result = new OriginKeepers();
        result.updateHosts(others);
        return result;
    }

    private static List<Host> hosts(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = new AvailabilityZone("z" + i % 3);
            hosts.add(new Host(new HostId("h" + i), Role.GATEWAY, zone, new Address("10.0.0.1", 8000 + i), false));
        }
        return hosts;
    }
}
