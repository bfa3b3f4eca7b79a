package org.gooseberryhill.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the rosters of a fleet in which each host is watched by some others only, in virtual time. */
class LargeFleetRosterTest {
    private static final int HOSTS = 40;
    private static final int STEP_MILLIS = 500;

    private final Map<HostId, HostRoster> rosters = new HashMap<>();
    private final Set<HostId> lost = new HashSet<>();
    private final Set<List<HostId>> cutLinks = new HashSet<>();
    private final Map<HostId, List<Host>> lastWatchers = new HashMap<>();
    private long nowMillis;

    @BeforeEach
    void start() {
        for (int i = 0; i < HOSTS; i++) {
            HostId id = new HostId("host-" + i);
            rosters.put(id, new HostRoster(id, id.value() + "-start"));
        }
        list(rosters.keySet());
        run(3000);
    }

    @Test
    void allHostsAreActiveForAllOthers() {
        rosters.values()
                .forEach(roster -> assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS - 1));
    }

    /** Guards against batches of a lost host that nobody takes over, since the store is out and its key stays listed. */
    @Test
    void aHostThatIsLostWhileTheListDoesNotChangeIsLostForAllOthersInSeconds() {
        HostId victim = new HostId("host-7");
        lost.add(victim);
        run(7000);

        living().forEach(roster -> {
            assertThat(roster.liveProcessStarts(nowNanos()))
                    .doesNotContainKey(victim.value())
                    .hasSize(HOSTS - 1);
            assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS - 2);
        });
    }

    /** Guards against a host that a single watcher with a cut link has all others believe lost. */
    @Test
    void aHostThatOneWatcherDoesNotHearStaysAlive() {
        HostId host = new HostId("host-7");
        HostId watcher = rosters.get(host).watchers(nowNanos()).get(0).id();
        cutLinks.add(List.of(host, watcher));
        cutLinks.add(List.of(watcher, host));
        run(20_000);

        rosters.forEach((id, roster) -> {
            if (!id.equals(watcher) && !id.equals(host)) {
                assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS - 1);
            }
        });
    }

    /** Guards against hosts that nobody finds lost because their watchers were lost with them. */
    @Test
    void halfOfTheFleetLostAtOnceIsFound() {
        for (int i = 0; i < HOSTS; i += 2) {
            lost.add(new HostId("host-" + i));
        }
        run(5000);
        list(rosters.keySet().stream().filter(id -> !lost.contains(id)).toList());
        run(20_000);

        living().forEach(roster -> {
            assertThat(roster.gateways(nowNanos())).hasSize(HOSTS / 2 - 1);
            assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS / 2 - 1);
        });
    }

    /** Guards against a fleet that takes itself for lost when an outage of the store ends all leases at once. */
    @Test
    void hostsWhoseLeasesAllLapseForSecondsStayActive() {
        list(List.of());
        run(6000);
        rosters.values().forEach(roster -> {
            assertThat(roster.gateways(nowNanos())).hasSize(HOSTS - 1);
            assertThat(roster.liveProcessStarts(nowNanos())).hasSize(HOSTS);
        });

        list(rosters.keySet());
        run(3000);
        allHostsAreActiveForAllOthers();
    }

    /** Guards against a host that was cut off and comes back, but stays lost for those that do not watch it. */
    @Test
    void aHostThatIsHeardAgainIsActiveAgain() {
        HostId victim = new HostId("host-7");
        lost.add(victim);
        run(10_000);
        lost.remove(victim);
        run(20_000);

        living().forEach(roster -> assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS - 1));
    }

    /**
     * Guards against a restarted host that only its watchers take for active: hosts with different views name different
     * coordinators, and items that were announced to the wrong one were never started.
     */
    @Test
    void aHostThatRestartsAfterAPlannedStopIsActiveForAllOthers() {
        HostId stopped = new HostId("host-7");
        HostReport leaving = new HostReport(stopped.value() + "-start", true, true);
        rosters.values().forEach(roster -> roster.recordReport(stopped, leaving, nowNanos()));
        lost.add(stopped);
        run(2000);
        rosters.put(stopped, new HostRoster(stopped, stopped.value() + "-start-2"));
        lost.remove(stopped);
        list(rosters.keySet(), Map.of(stopped, stopped.value() + "-start-2"));
        run(5000);

        living().forEach(roster -> assertThat(roster.activeGateways(nowNanos())).hasSize(HOSTS - 1));
    }

    private List<HostRoster> living() {
        List<HostRoster> living = new ArrayList<>();
        rosters.forEach((id, roster) -> {
            if (!lost.contains(id)) {
                living.add(roster);
            }
        });
        return living;
    }

    private void list(Iterable<HostId> ids) {
        list(ids, Map.of());
    }

    private void list(Iterable<HostId> ids, Map<HostId, String> laterStarts) {
        List<ListedHost> entries = new ArrayList<>();
        ids.forEach(id -> entries.add(new ListedHost(host(id), laterStarts.getOrDefault(id, id.value() + "-start"))));
        rosters.values().forEach(roster -> roster.updateListedHosts(entries, nowNanos()));
    }

    private void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            if (nowMillis % 1000 == 0) {
                rosters.forEach(this::sendHeartbeats);
                rosters.forEach(this::giveNotice);
            }
        }
    }

    private void sendHeartbeats(HostId from, HostRoster roster) {
        List<Host> watchers = roster.watchers(nowNanos());
        lastWatchers.getOrDefault(from, List.of()).stream()
                .filter(watcher -> !watchers.contains(watcher) && reaches(from, watcher.id()))
                .forEach(watcher -> rosters.get(watcher.id()).recordWatchEnd(from));
        lastWatchers.put(from, watchers);
        for (Host watcher : watchers) {
            if (reaches(from, watcher.id())) {
                rosters.get(watcher.id())
                        .recordReport(from, new HostReport(from.value() + "-start", false, true), nowNanos());
                roster.recordAnswer(watcher.id(), nowNanos());
            }
        }
        roster.takeNewlySilent(nowNanos());
    }

    private void giveNotice(HostId from, HostRoster roster) {
        for (HostId silent : roster.silentHosts(nowNanos())) {
            rosters.forEach((to, receiver) -> {
                if (!to.equals(from) && reaches(from, to)) {
                    receiver.recordSilence(from, silent, nowNanos());
                }
            });
        }
    }

    private boolean reaches(HostId from, HostId to) {
        return !lost.contains(from) && !lost.contains(to) && !cutLinks.contains(List.of(from, to));
    }

    private static Host host(HostId id) {
        Address address =
                new Address("127.0.0.1", 1000 + Integer.parseInt(id.value().substring(5)));
        return new Host(id, Role.GATEWAY, new AvailabilityZone("zone-a"), address, false);
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(100_000 + nowMillis);
    }
}
