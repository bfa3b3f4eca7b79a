package org.gooseberryhill.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** A host crashes: all others detect it, and no other host is considered dead. */
    @Test
    void aCrashedHostIsDetectedByAllOthersWithinSeconds() {
        Cluster cluster = new Cluster(9);
        cluster.run(40);
        cluster.downHosts.add("h3");
        cluster.run(140);

        cluster.forEachRunning(
                view -> assertThat(view.stateOf(new HostId("h3"))).contains(HostState.DEAD));
        cluster.forEachRunning(view -> assertThat(view.presentHosts()).hasSize(7));
    }

    /** The link between two hosts is broken. The other hosts still reach both, so neither is considered dead. */
    @Test
    void aBrokenLinkBetweenTwoHostsMakesNeitherDead() {
        Cluster cluster = new Cluster(6);
        cluster.brokenLinks.add("h1-h2");
        cluster.brokenLinks.add("h2-h1");
        cluster.run(400);

        cluster.forEachRunning(view -> assertThat(view.presentHosts()).hasSize(5));
    }

    /** A host is paused until it is considered dead. When it resumes, it refutes that with a greater incarnation. */
    @Test
    void aPausedHostThatResumesIsPresentAgain() {
        Cluster cluster = new Cluster(6);
        cluster.run(40);
        cluster.downHosts.add("h4");
        cluster.run(160);
        cluster.forEachRunning(
                view -> assertThat(view.stateOf(new HostId("h4"))).contains(HostState.DEAD));
        cluster.downHosts.clear();
        cluster.run(200);

        cluster.forEachRunning(view -> assertThat(view.presentHosts()).hasSize(5));
    }

    /** One third of all messages is lost for a long time, which must not make any host be considered dead. */
    @Test
    void lostMessagesMakeNoHostDead() {
        Cluster cluster = new Cluster(8);
        cluster.lossPercent = 33;
        cluster.run(1200);

        assertThat(cluster.deaths).isZero();
    }

    /** Compares the messages per host among 4 and among 64 hosts: the cost of a host must not grow with the fleet. */
    @Test
    void theMessagesOfAHostDoNotGrowWithTheFleet() {
        Cluster few = new Cluster(4);
        few.run(400);
        Cluster many = new Cluster(64);
        many.run(400);

        double ofFew = few.messages / 4.0;
        double ofMany = many.messages / 64.0;
        assertThat(ofMany).isBetween(ofFew * 0.9, ofFew * 1.1);
    }

    @Test
    void aHostMissingFromTheHostListIsPresentWhileItAnswers() {
        Cluster cluster = new Cluster(4);
        cluster.run(20);
        cluster.memberships.get("h0").updateCandidates(List.of(cluster.host(1)), cluster.nowNanos);

        assertThat(cluster.memberships.get("h0").presentHosts()).hasSize(3);
    }

    /** A simulated cluster whose messages are delivered immediately or lost. */
    private static final class Cluster {
        private final Map<String, Membership> memberships = new TreeMap<>();
        private final Set<String> downHosts = new HashSet<>();
        private final Set<String> brokenLinks = new HashSet<>();
        private final Random random = new Random(5);
        private final int size;
        private int lossPercent;
        private long nowNanos;
        private int messages;

        /** The number of hosts that consider another host dead, summed over all ticks. */
        private int deaths;

        Cluster(int size) {
            this.size = size;
            List<Host> hosts = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                hosts.add(host(i));
            }
            for (Host host : hosts) {
                Membership view =
                        new Membership(host.id(), MembershipSettings.DEFAULT, new Random(hosts.indexOf(host)));
                view.updateCandidates(hosts, 0);
                memberships.put(host.id().value(), view);
            }
        }

        Host host(int number) {
            return new Host(
                    new HostId("h" + number),
                    Role.ENTRY,
                    new AvailabilityZone("a"),
                    new Address("10.0.0.1", 1000 + number),
                    false);
        }

        void run(int ticks) {
            for (int tick = 0; tick < ticks; tick++) {
                nowNanos += TICK_NANOS;
                memberships.forEach((name, view) -> {
                    if (!downHosts.contains(name)) {
                        view.tick(nowNanos, new Sender(name));
                    }
                });
                deaths += (int) memberships.values().stream()
                        .filter(view -> view.presentHosts().size() < size - 1)
                        .count();
            }
        }

        void forEachRunning(Consumer<Membership> check) {
            memberships.forEach((name, view) -> {
                if (!downHosts.contains(name)) {
                    check.accept(view);
                }
            });
        }

        private boolean arrives(String from, String to) {
            messages++;
            boolean lost = random.nextInt(100) < lossPercent;
            return !lost
                    && !downHosts.contains(from)
                    && !downHosts.contains(to)
                    && !brokenLinks.contains(from + "-" + to);
        }

        private boolean exchange(String from, String to, List<Rumor> rumors) {
            Membership sender = memberships.get(from);
            Membership receiver = memberships.get(to);
            if (!arrives(from, to)) {
                return false;
            }
            receiver.recordContact(new HostId(from), sender.incarnation(), false, rumors, nowNanos);
            List<Rumor> replyRumors = receiver.rumorsFor(new HostId(from));
            if (!arrives(to, from)) {
                return false;
            }
            sender.recordContact(new HostId(to), receiver.incarnation(), false, replyRumors, nowNanos);
            return true;
        }

        /** Sends the probes of one host through the simulated network. */
        private final class Sender implements MembershipCommands {
            private final String from;

            Sender(String from) {
                this.from = from;
            }

            @Override
            public void probe(Host target, long incarnation, List<Rumor> rumors) {
                exchange(from, target.id().value(), rumors);
            }

            @Override
            public void probeIndirectly(Host helper, Host target) {
                String helperName = helper.id().value();
                boolean reached = arrives(from, helperName)
                        && exchange(helperName, target.id().value(), List.of())
                        && arrives(helperName, from);
                Optional.of(reached)
                        .filter(Boolean::booleanValue)
                        .ifPresent(success -> memberships.get(from).recordIndirectReply(target.id(), nowNanos));
            }
        }
    }
}
