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
    void aLostHostIsFoundByAllOthersWithinSeconds() {
        Views views = new Views(9);
        views.run(40);
        views.down.add("h3");
        views.run(140);

        views.forLive(view -> assertThat(view.stateOf(new HostId("h3"))).contains(HostState.DEAD));
        views.forLive(view -> assertThat(view.present()).hasSize(7));
    }

    /** The link between two hosts is broken. The other hosts still reach both, so neither is considered dead. */
    @Test
    void aCutLinkBetweenTwoHostsIsNotALostHost() {
        Views views = new Views(6);
        views.cut.add("h1-h2");
        views.cut.add("h2-h1");
        views.run(400);

        views.forLive(view -> assertThat(view.present()).hasSize(5));
    }

    /** A host is paused until it is considered dead. When it resumes, it refutes that with a greater incarnation. */
    @Test
    void aPausedHostThatWakesIsPresentAgain() {
        Views views = new Views(6);
        views.run(40);
        views.down.add("h4");
        views.run(160);
        views.forLive(view -> assertThat(view.stateOf(new HostId("h4"))).contains(HostState.DEAD));
        views.down.clear();
        views.run(200);

        views.forLive(view -> assertThat(view.present()).hasSize(5));
    }

    /** One third of all messages is lost for a long time, which must not make any host be considered dead. */
    @Test
    void lostMessagesDoNotMakeALostHost() {
        Views views = new Views(8);
        views.lossPercent = 33;
        views.run(1200);

        assertThat(views.deaths).isZero();
    }

    /** Compares the messages per host among 4 and among 64 hosts: the cost of a host must not grow with the fleet. */
    @Test
    void theMessagesOfAHostDoNotGrowWithTheFleet() {
        Views few = new Views(4);
        few.run(400);
        Views many = new Views(64);
        many.run(400);

        double ofFew = few.messages / 4.0;
        double ofMany = many.messages / 64.0;
        assertThat(ofMany).isBetween(ofFew * 0.9, ofFew * 1.1);
    }

    @Test
    void theHostListMayLoseAHostThatStillAnswers() {
        Views views = new Views(4);
        views.run(20);
        views.views.get("h0").candidates(List.of(views.host(1)), views.now);

        assertThat(views.views.get("h0").present()).hasSize(3);
    }

    /** A simulated cluster whose messages are delivered immediately or lost. */
    private static final class Views {
        private final Map<String, Membership> views = new TreeMap<>();
        private final Set<String> down = new HashSet<>();
        private final Set<String> cut = new HashSet<>();
        private final Random random = new Random(5);
        private final int size;
        private int lossPercent;
        private long now;
        private int messages;
        private int deaths;

        Views(int size) {
            this.size = size;
            List<Host> hosts = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                hosts.add(host(i));
            }
            for (Host host : hosts) {
                Membership view =
                        new Membership(host.id(), MembershipSettings.DEFAULT, new Random(hosts.indexOf(host)));
                view.candidates(hosts, 0);
                views.put(host.id().value(), view);
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
                now += TICK_NANOS;
                views.forEach((name, view) -> {
                    if (!down.contains(name)) {
                        view.tick(now, new Sender(name));
                    }
                });
                deaths += (int) views.values().stream()
                        .filter(view -> view.present().size() < size - 1)
                        .count();
            }
        }

        void forLive(Consumer<Membership> check) {
            views.forEach((name, view) -> {
                if (!down.contains(name)) {
                    check.accept(view);
                }
            });
        }

        private boolean arrives(String from, String to) {
            messages++;
            boolean lost = random.nextInt(100) < lossPercent;
            return !lost && !down.contains(from) && !down.contains(to) && !cut.contains(from + "-" + to);
        }

        private boolean exchange(String from, String to, List<Rumor> rumors) {
            Membership sender = views.get(from);
            Membership receiver = views.get(to);
            if (!arrives(from, to)) {
                return false;
            }
            receiver.heard(new HostId(from), sender.incarnation(), false, rumors, now);
            List<Rumor> back = receiver.rumorsFor(new HostId(from));
            if (!arrives(to, from)) {
                return false;
            }
            sender.heard(new HostId(to), receiver.incarnation(), false, back, now);
            return true;
        }

        /** The probes of one host. */
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
            public void probeThrough(Host helper, Host target) {
                String through = helper.id().value();
                boolean reached = arrives(from, through)
                        && exchange(through, target.id().value(), List.of())
                        && arrives(through, from);
                Optional.of(reached)
                        .filter(Boolean::booleanValue)
                        .ifPresent(yes -> views.get(from).reachedThrough(target.id(), now));
            }
        }
    }
}
