package org.gooseberryhill.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class HostRosterTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    private final HostRoster roster = new HostRoster(new HostId("self"), "s1");

    @Test
    void aListedHostIsAliveBeforeItWasHeard() {
        updateListedHosts(0, "self", "a");

        assertThat(roster.liveProcessStarts(at(60_000)))
                .containsEntry("a", "a1")
                .containsEntry("self", "s1");
        assertThat(roster.gateways(at(0))).extracting(Host::id).containsExactly(A);
        assertThat(roster.activeGateways(at(0))).isEmpty();
    }

    /**
     * Guards against a lost gateway that is never detected: store hosts send no reports to gateways, so if they counted
     * as silent hosts, a majority would seem silent.
     */
    @Test
    void storeHostsAreKnownAndCountNeitherAsGatewaysNorAsSilent() {
        List<ListedHost> entries = new ArrayList<>();
        List.of("a", "b").forEach(id -> entries.add(new ListedHost(host(id), id + "1")));
        List.of("x", "y", "z").forEach(id -> entries.add(new ListedHost(host(id, Role.STORE), id + "1")));
        roster.updateListedHosts(entries, at(0));
        recordReport(A, 0);
        recordReport(B, 0);
        recordReport(A, 6000);

        assertThat(roster.diskHosts()).extracting(host -> host.id().value()).containsExactly("x", "y", "z");
        assertThat(roster.gateways(at(6000))).extracting(Host::id).containsExactly(A, B);
        assertThat(roster.liveProcessStarts(at(6000))).doesNotContainKey("b").containsKey("a");
    }

    /**
     * After an outage of the key-value store all leases expire at once and the list is empty for a moment, although the
     * hosts are alive.
     */
    @Test
    void aHostThatDisappearedFromTheListIsAliveWhileItIsHeard() {
        updateListedHosts(0, "self", "a", "b");
        recordReport(A, 0);
        updateListedHosts(100);
        recordReport(A, 1000);

        assertThat(roster.liveProcessStarts(at(1500))).containsEntry("a", "a1").doesNotContainKey("b");
        assertThat(roster.find(A, at(1500))).isPresent();
        assertThat(roster.activeGateways(at(1500))).extracting(Host::id).containsExactly(A);
    }

    /**
     * A lost host's key expires while its last report is still recent, and the list does not change afterwards. If the
     * host counted as alive forever, its batches would wait for a host that never comes back.
     */
    @Test
    void aHostThatDisappearedFromTheListAndBecameSilentIsLost() {
        updateListedHosts(0, "self", "a", "b");
        recordReport(A, 0);
        recordReport(B, 0);
        updateListedHosts(500, "self", "b");

        for (int millis = 1000; millis <= 10_000; millis += 1000) {
            recordReport(B, millis);
            roster.takeNewlySilent(at(millis));
        }
        assertThat(roster.liveProcessStarts(at(10_000))).doesNotContainKey("a").containsEntry("b", "b1");
        assertThat(roster.find(A, at(10_000))).isEmpty();
    }

    /**
     * One of three hosts is lost during an outage of the key-value store, so that its key stays. The two remaining
     * hosts hear each other and are a majority.
     */
    @Test
    void aListedHostThatIsSilentForLongIsLostWhileMostAreHeard() {
        updateListedHosts(0, "self", "a", "b");
        recordReport(A, 0);
        recordReport(B, 0);
        recordReport(B, 4000);

        assertThat(roster.liveProcessStarts(at(4100))).containsKey("a");
        assertThat(roster.liveProcessStarts(at(4300))).doesNotContainKey("a").containsKey("b");
    }

    /** This host was suspended for long or is partitioned: all other hosts seem silent, but none of them is lost. */
    @Test
    void aHostThatHearsOnlyAMinorityConsidersNoHostLost() {
        updateListedHosts(0, "self", "a", "b");
        recordReport(A, 0);
        recordReport(B, 0);

        assertThat(roster.liveProcessStarts(at(20_000))).containsKeys("a", "b");
    }

    @Test
    void theReportedProcessTakesPrecedenceOverTheListedOne() {
        updateListedHosts(0, "self", "a");
        roster.recordReport(A, new HostReport("a2", false, true), at(100));

        assertThat(roster.liveProcessStarts(at(200))).containsEntry("a", "a2");
    }

    @Test
    void aSilentHostIsReturnedOnceUntilItIsHeardAgain() {
        updateListedHosts(0, "self", "a");
        recordReport(A, 0);

        assertThat(roster.takeNewlySilent(at(3400))).isEmpty();
        assertThat(roster.takeNewlySilent(at(3600))).containsExactly(A);
        assertThat(roster.takeNewlySilent(at(4600))).isEmpty();
        recordReport(A, 5000);
        assertThat(roster.takeNewlySilent(at(5100))).isEmpty();
        assertThat(roster.takeNewlySilent(at(9000))).containsExactly(A);
    }

    @Test
    void hostsThatStopOrDoNotReachTheStoreAreNotAskedForHelp() {
        updateListedHosts(0, "self", "a", "b");
        roster.recordReport(A, new HostReport("a1", true, true), at(0));
        roster.recordReport(B, new HostReport("b1", false, false), at(0));

        assertThat(roster.activeGateways(at(1))).extracting(Host::id).containsExactly(B);
        assertThat(roster.gatewaysReachingKeyValueStore(at(1)))
                .extracting(Host::id)
                .containsExactly(A);
    }

    /**
     * A host starts while it cannot reach the key-value store. It is on no list, so it receives no reports, and it
     * could never register if it asked only hosts that it has heard to call the store for it.
     */
    @Test
    void aHostThatNobodyKnowsYetAsksTheListedOnesForHelp() {
        updateListedHosts(0, "self", "a", "b");
        assertThat(roster.gatewaysReachingKeyValueStore(at(1)))
                .extracting(Host::id)
                .containsExactly(A, B);

        roster.recordReport(A, new HostReport("a1", false, false), at(2));
        assertThat(roster.gatewaysReachingKeyValueStore(at(3))).isEmpty();
    }

    @Test
    void anAnswerShowsThatAHostIsAlive() {
        updateListedHosts(0, "self", "a");
        recordReport(A, 0);
        roster.recordAnswer(A, at(3000));

        assertThat(roster.activeGateways(at(6000))).extracting(Host::id).containsExactly(A);
    }

    /** Guards against streams that nobody remembers since no host has reported to a host that has just started. */
    @Test
    void aGatewayUnderstandsTheMessagesThatItRegisteredUntilItIsSilentOrStops() {
        ListedHost earlierVersion = new ListedHost(host("a"), "a1", ListedHost.FIRST_MESSAGE_SET);
        roster.updateListedHosts(List.of(earlierVersion, new ListedHost(host("b"), "b1")), at(0));

        assertThat(understanding(ListedHost.FIRST_MESSAGE_SET, 0)).containsExactlyInAnyOrder(A, B);
        assertThat(understanding(ListedHost.STREAM_ORIGINS_MESSAGE_SET, 0)).containsExactly(B);

        recordReport(B, 0);
        assertThat(understanding(ListedHost.STREAM_ORIGINS_MESSAGE_SET, 1000)).containsExactly(B);
        assertThat(understanding(ListedHost.STREAM_ORIGINS_MESSAGE_SET, 6000)).isEmpty();

        roster.recordReport(B, new HostReport("b1", true, true), at(6000));
        assertThat(understanding(ListedHost.STREAM_ORIGINS_MESSAGE_SET, 6000)).isEmpty();
    }

    private List<HostId> understanding(int messageSet, long millis) {
        return roster.gatewaysThatUnderstand(messageSet, at(millis)).stream()
                .map(Host::id)
                .toList();
    }

    private void recordReport(HostId host, long millis) {
        roster.recordReport(host, new HostReport(host.value() + "1", false, true), at(millis));
    }

    private void updateListedHosts(long millis, String... hosts) {
        List<ListedHost> entries = new ArrayList<>();
        Arrays.stream(hosts).forEach(host -> entries.add(new ListedHost(host(host), host + "1")));
        roster.updateListedHosts(entries, at(millis));
    }

    private static Host host(String id) {
        return host(id, Role.GATEWAY);
    }

    private static Host host(String id, Role role) {
        Address address = new Address("127.0.0.1", 1000 + id.charAt(0));
        return new Host(new HostId(id), role, new AvailabilityZone("zone-a"), address, false);
    }

    private static long at(long millis) {
        return TimeUnit.SECONDS.toNanos(10) + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
