package org.gooseberryhill.decision.replay;

import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
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
    private final Set<HostId> lostHosts = new HashSet<>();
    private Map<HostId, ReplayHost> hosts = Map.of();
    private double lossShare;

    ReplayNetwork(VirtualClock clock, ReplayCounts counts, Random random) {
        this.clock = clock;
        this.counts = counts;
        this.random = random;
    }

    void setHosts(Map<HostId, ReplayHost> all) {
        hosts = all;
    }

    /** Loses a share of all messages from now on. */
    void setLossShare(double share) {
        lossShare = share;
    }

    /** Loses all messages from and to a host from now on. */
    void loseHost(HostId host) {
        lostHosts.add(host);
    }

    private boolean isLost(HostId from, HostId to) {
        return lostHosts.contains(from) || lostHosts.contains(to) || lossShare > 0 && random.nextDouble() < lossShare;
    }

    /** Runs an action at a host when a message to it has arrived and is handled; at the sending host at once. */
    void send(HostId from, HostId to, Consumer<ReplayHost> action) {
        if (to.equals(from)) {
            action.accept(hosts.get(to));
            return;
        }
        counts.messages++;
        if (isLost(from, to)) {
            return;
        }
        double handlingMillis = -MEAN_HANDLING_MILLIS * Math.log(1 - random.nextDouble());
        clock.schedule(ONE_WAY_LATENCY_MILLIS + handlingMillis, () -> action.accept(hosts.get(to)));
    }
}
