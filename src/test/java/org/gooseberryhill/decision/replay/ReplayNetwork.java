package org.gooseberryhill.decision.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Delivers messages between simulated hosts. A message takes the network's latency and a random time until a thread of the
 * receiving host, which has a part of a core, handles it. Links between zones may be slow or cut, and hosts may be lost.
 */
final class ReplayNetwork {
    /** One-way latency; half of the hosts and endpoints are in other availability zones. */
    private static final double ONE_WAY_LATENCY_MILLIS = 0.8;

    private static final double RETRANSMISSION_MILLIS = 100;
    private static final double MEAN_HANDLING_MILLIS = 1.5;

    private final VirtualClock clock;
    private final ReplayCounts counts;
    private final Random random;
    private final Optional<ReplayZones> zones;
    private final Map<Set<AvailabilityZone>, Double> slowdowns = new HashMap<>();
    private final Set<Set<AvailabilityZone>> cutLinks = new HashSet<>();
    private final Set<HostId> lost = new HashSet<>();
    private Map<HostId, ReplayHost> hosts = Map.of();
    private double loadsDelayMillis;
    private double lossShare;

    ReplayNetwork(VirtualClock clock, ReplayCounts counts, Random random, Optional<ReplayZones> zones) {
        this.clock = clock;
        this.counts = counts;
        this.random = random;
        this.zones = zones;
    }

    void setHosts(Map<HostId, ReplayHost> all) {
        hosts = all;
    }

    /** Multiplies the latency of the link between two zones. */
    void slowDown(AvailabilityZone one, AvailabilityZone other, double factor) {
        slowdowns.put(Set.of(one, other), factor);
    }

    /** Cuts the link between two zones for a while. */
    void cut(AvailabilityZone one, AvailabilityZone other, double millis) {
        cutLinks.add(Set.of(one, other));
        clock.schedule(millis, () -> cutLinks.remove(Set.of(one, other)));
    }

    /** Delays the loads that coordinators tell each other. */
    void delayLoads(double millis) {
        loadsDelayMillis = millis;
    }

    /** Loses a share of all messages from now on. */
    void setLossShare(double share) {
        lossShare = share;
    }

    /** Loses a host with all that it sends and receives from now on. */
    void lose(HostId host) {
        lost.add(host);
    }

    boolean isLost(HostId host) {
        return lost.contains(host);
    }

    boolean isCut(AvailabilityZone one, AvailabilityZone other) {
        return !one.equals(other) && cutLinks.contains(Set.of(one, other));
    }

    private double oneWayMillis(AvailabilityZone one, AvailabilityZone other) {
        if (zones.isEmpty()) {
            return ONE_WAY_LATENCY_MILLIS;
        }
        return one.equals(other)
                ? ReplayZones.WITHIN_ZONE_MILLIS
                : zones.get().crossingMillis() * slowdowns.getOrDefault(Set.of(one, other), 1.0);
    }

    /** Returns the one-way latency between a host and an endpoint. */
    double toMillis(Host host, EndpointEntry endpoint) {
        return oneWayMillis(host.zone(), endpoint.zone());
    }

    /** Runs an action at a host when a message to it has arrived and is handled; at the sending host at once. */
    void send(HostId from, HostId to, Consumer<ReplayHost> action) {
        send(from, to, 0, action);
    }

    /** Sends loads as by {@link #send(HostId, HostId, Consumer)}. */
    void sendLoads(HostId from, HostId to, Consumer<ReplayHost> action) {
        send(from, to, loadsDelayMillis, action);
    }

    /** Runs an action when a part of an answer arrives at a host; over a cut link, once it is restored. */
    void sendAnswer(Host host, AvailabilityZone endpointZone, Runnable action) {
        if (isCut(host.zone(), endpointZone)) {
            clock.schedule(RETRANSMISSION_MILLIS, () -> sendAnswer(host, endpointZone, action));
        } else if (!isLost(host.id())) {
            clock.schedule(oneWayMillis(host.zone(), endpointZone), action);
        }
    }

    private void send(HostId from, HostId to, double delayMillis, Consumer<ReplayHost> action) {
        if (to.equals(from)) {
            action.accept(hosts.get(to));
            return;
        }
        counts.messages++;
        AvailabilityZone fromZone = hosts.get(from).host().zone();
        AvailabilityZone toZone = hosts.get(to).host().zone();
        double handlingMillis = -MEAN_HANDLING_MILLIS * Math.log(1 - random.nextDouble());
        if (isCut(fromZone, toZone) || isLost(from) || (lossShare > 0 && random.nextDouble() < lossShare)) {
            return;
        }
        clock.schedule(delayMillis + oneWayMillis(fromZone, toZone) + handlingMillis, () -> {
            ReplayHost host = hosts.get(to);
            if (!isLost(to)) {
                host.process().run(() -> action.accept(host));
            }
        });
    }
}
