package org.gooseberryhill.external;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.standin.HostListStandin;
import org.gooseberryhill.standin.SampleFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Contract of the platform's host list that the system relies on, tested against the stand-in. */
class HostListContractTest {
    /** Far longer than a call takes, so that only a test that hangs reaches it. */
    private static final int TIMEOUT_MILLIS = 60_000;

    private static final long LONG_LAG_MILLIS = 600_000;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final Address address = Loopback.freeAddress();
    private final HostListStandin standin = new HostListStandin(group, address, 0);
    private final HttpClient http = new HttpClient(group);
    private final HostList hostList = new HttpHostList(http, address, TIMEOUT_MILLIS);
    private final List<Host> hosts = new SampleFleet(20_000, 1).hosts(1, 1, 1);

    @AfterEach
    void close() {
        http.close();
        standin.close();
        group.shutdownGracefully();
    }

    @Test
    void hostsAreListedWithTheirRolesZonesAndAddresses() {
        standin.setHosts(hosts);

        assertThat(hostList.read().join().hosts()).isEqualTo(hosts);
    }

    @Test
    void aLeavingEndpointIsListed() {
        standin.addLeavingEndpoint("tutor-00");

        Loopback.await(
                "the leaving endpoint",
                () -> hostList.read().join().leavingEndpoints().contains("tutor-00"));
    }

    /** While the list lags, it does not show a change and still shows the earlier hosts. */
    @Test
    void aChangeIsVisibleOnlyAfterTheLag() {
        standin.setHosts(hosts);
        standin.setLagMillis(LONG_LAG_MILLIS);
        standin.addLeavingEndpoint("tutor-00");

        assertThat(hostList.read().join().leavingEndpoints()).isEmpty();
        assertThat(hostList.read().join().hosts()).hasSize(3);
    }

    @Test
    void aReadWithoutAnAnswerFails() {
        standin.close();

        assertThatThrownBy(() -> hostList.read().join()).hasCauseInstanceOf(ExternalServiceException.class);
    }
}
