package org.gooseberryhill.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

/** Guards against queries that no host makes, or that a host makes although the store refuses them and others make them. */
class QueryTurnTest {
    @Test
    void theRankIsTheNumberOfHostsWithLowerIds() {
        assertThat(QueryTurn.rank(new HostId("a"), hosts("b", "c"), true)).isZero();
        assertThat(QueryTurn.rank(new HostId("c"), hosts("a", "b", "d"), true)).isEqualTo(2);
    }

    @Test
    void aHostThatTheStoreRefusesComesAfterTheFirstThatItServes() {
        assertThat(QueryTurn.rank(new HostId("a"), hosts("b", "c"), false)).isEqualTo(QueryTurn.UNREACHED_RANK);
        assertThat(QueryTurn.rank(new HostId("f"), hosts("a", "b", "c", "d", "e"), false))
                .isEqualTo(5);
    }

    private static List<Host> hosts(String... ids) {
        return Stream.of(ids)
                .map(id -> new Host(
                        new HostId(id),
                        Role.GATEWAY,
                        new AvailabilityZone("zone-a"),
                        new Address("127.0.0.1", 1000),
                        false))
                .toList();
    }
}
