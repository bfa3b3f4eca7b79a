package org.gooseberryhill.decision.replay;

import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.gooseberryhill.host.HostId;

/**
 * Delivers messages between simulated hosts. A message takes the network's latency and a random time until a thread of the
 * receiving host, which has a part of a core, handles it.
 */
final class ReplayNetwork {
    /** One-way latency; half of the hosts and endpoints are in other availability zones. */
    static final double ONE_WAY_LATENCY_MILLIS = 0.8;

    private static final double MEAN_HANDLING_MILLIS = 1.5;

    private final VirtualClock clock;
    private final ReplayCounts counts;
    private final Random random;
    private Map<HostId, ReplayHost> hosts = Map.of();

    ReplayNetwork(VirtualClock clock, ReplayCounts counts, Random random) {
        this.clock = clock;
        this.counts = counts;
        this.random = random;
    }

    void setHosts(Map<HostId, ReplayHost> all) {
        hosts = all;
    }

    /** Runs an action at a host when a message to it has arrived and is handled; at the sending host at once. */
    void send(HostId from, HostId to, Consumer<ReplayHost> action) {
        if (to.equals(from)) {
            action.accept(hosts.get(to));
            return;
        }
        counts.messages++;
        double handlingMillis = -MEAN_HANDLING_MILLIS * Math.log(1 - random.nextDouble());
        clock.schedule(ONE_WAY_LATENCY_MILLIS + handlingMillis, () -> deliver(to, action));
    }

    private void deliver(HostId to, Consumer<ReplayHost> action) {
        ReplayHost host = hosts.get(to);
        host.process().run(() -> action.accept(host));
    }
}
