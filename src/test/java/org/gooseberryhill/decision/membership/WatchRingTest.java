package org.gooseberryhill.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.host.HostId;
import org.junit.jupiter.api.Test;

class WatchRingTest {
    @Test
    void aSmallFleetWatchesItselfCompletely() {
        List<HostId> hosts = hosts(9);
        for (HostId host : hosts) {
            WatchRing ring = WatchRing.around(host, without(hosts, host));

            assertThat(ring.watchers()).containsExactlyInAnyOrderElementsOf(without(hosts, host));
            assertThat(ring.watched()).containsExactlyInAnyOrderElementsOf(without(hosts, host));
        }
    }

    /** Guards against a cost that grows with the fleet, and against a host that nobody watches. */
    @Test
    void inALargeFleetEachHostWatchesAndIsWatchedByAFewOthers() {
        List<HostId> hosts = hosts(300);
        for (HostId host : hosts) {
            WatchRing ring = WatchRing.around(host, without(hosts, host));
            assertThat(ring.watchers()).hasSize(WatchRing.WATCHERS);
            assertThat(ring.watched()).hasSize(WatchRing.WATCHERS);
            for (HostId watcher : ring.watchers()) {
                assertThat(WatchRing.around(watcher, without(hosts, watcher)).watched())
                        .contains(host);
            }
        }
    }

    @Test
    void aHostAloneWatchesNobody() {
        WatchRing ring = WatchRing.around(new HostId("a"), List.of());

        assertThat(ring.watchers()).isEmpty();
        assertThat(ring.watched()).isEmpty();
    }

    private static List<HostId> hosts(int count) {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new HostId("host-" + i));
        }
        return hosts;
    }

    private static List<HostId> without(List<HostId> hosts, HostId removed) {
        return hosts.stream().filter(host -> !host.equals(removed)).toList();
    }
}
