package org.gooseberryhill.decision.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gooseberryhill.host.HostId;

/** Hosts that admit requests and report to each other ten times a second; some time later they fall into sides. */
class QuotaPartsProperties {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int STEPS_BEFORE = 40;
    private static final int STEPS_AFTER = 60;

    /** Steps in which hosts have not noticed yet that they do not hear the others. */
    private static final int STEPS_UNNOTICED = 4;

    /** What a host may count of its own demand while it does not notice that the others' is missing. */
    private static final double UNNOTICED_EXCESS = 0.1;

    private static final double ROUNDING = 1e-9;

    private final List<Host> hosts = new ArrayList<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(1000);

    /** Guards against a quota that is used on several sides of a cut, however the hosts fall into sides. */
    @Property(tries = 200)
    void thePartsThatHostsUseAddUpToOneWhicheverHearEachOther(
            @ForAll @Size(min = 2, max = 8) List<@IntRange(max = 3) Integer> sides,
            @ForAll @Size(8) List<@IntRange(max = 40) Integer> demands) {
        createHosts(sides.size());
        for (int step = 0; step < STEPS_BEFORE; step++) {
            step(demands, sides.stream().map(side -> 0).toList());
        }
        for (int step = 0; step < STEPS_AFTER; step++) {
            step(demands, sides);
            double allowed = 1 + (step < STEPS_UNNOTICED ? UNNOTICED_EXCESS : ROUNDING);
            assertThat(usedParts()).as("step %d after the cut", step).isLessThanOrEqualTo(allowed);
        }
    }

    /** Guards against a fleet that stops using a quota because less than half of the hosts is silent. */
    @Property(tries = 50)
    void mostHostsUseTheWholeQuotaSoonAfterTheOthersFellSilent(@ForAll @IntRange(min = 3, max = 8) int count) {
        createHosts(count);
        List<Integer> demands = hosts.stream().map(host -> 10).toList();
        List<Integer> sides = new ArrayList<>();
        for (int host = 0; host < count; host++) {
            sides.add(2 * (host + 1) < count ? host + 1 : 0);
        }
        for (int step = 0; step < STEPS_BEFORE; step++) {
            step(demands, sides.stream().map(side -> 0).toList());
        }
        for (int step = 0; step < STEPS_AFTER; step++) {
            step(demands, sides);
        }

        assertThat(usedParts()).isBetween(1 - ROUNDING, 1 + ROUNDING);
    }

    private void createHosts(int count) {
        hosts.clear();
        Set<HostId> all = new HashSet<>();
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(new HostId("host-" + number), nowNanos));
            all.add(hosts.get(number).id);
        }
        for (Host host : hosts) {
            Set<HostId> others = new HashSet<>(all);
            others.remove(host.id);
            host.participants.update(new FleetView(others, Set.of(), others, others, true, true), nowNanos);
        }
    }

    private void step(List<Integer> demands, List<Integer> sides) {
        nowNanos += STEP_NANOS;
        hosts.forEach(host -> host.agree(nowNanos));
        for (int from = 0; from < hosts.size(); from++) {
            for (int to = 0; to < hosts.size(); to++) {
                if (sides.get(from).equals(sides.get(to))) {
                    hosts.get(to).hear(hosts.get(from), demands.get(from), nowNanos);
                }
            }
        }
    }

    private double usedParts() {
        return hosts.stream()
                .mapToDouble(host -> host.parts.usablePart(host.participants, nowNanos))
                .sum();
    }

    private static final class Host {
        private final HostId id;
        private final Participants participants;
        private final QuotaParts parts;

        Host(HostId id, long nowNanos) {
            this.id = id;
            this.participants = new Participants(id, nowNanos);
            this.parts = new QuotaParts(id);
        }

        void hear(Host from, int requests, long nowNanos) {
            if (from != this) {
                participants.heard(from.id, true, nowNanos);
            }
            if (requests > 0) {
                parts.addDemand(from.id, requests, nowNanos);
            }
        }

        void agree(long nowNanos) {
            if (participants.agree(nowNanos)) {
                parts.agree(participants, nowNanos);
            }
        }
    }
}
