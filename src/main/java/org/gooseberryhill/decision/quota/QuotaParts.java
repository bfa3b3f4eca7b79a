package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gooseberryhill.host.HostId;

/**
 * Divides the quota of one client account among the hosts that admit requests, by what each was asked to admit. Not
 * thread-safe.
 *
 * <p>Invariants: the parts of all hosts add up to one, whichever of them hear each other, but for what was in transit when
 * some fell silent. While hosts are silent, those that hear each other use together what was theirs when all were heard; a host
 * that was not among them uses nothing. What silent hosts had passes on when they have certainly ended or stopped.
 */
final class QuotaParts {
    /** Part of a quota that is divided equally, so that a host without demand can admit the first requests. */
    private static final double EQUAL_PART = 0.05;

    private final HostId self;
    private final Map<HostId, DecayingCount> demand = new HashMap<>();
    private Map<HostId, Double> agreedParts = Map.of();
    private boolean demandChanged;

    QuotaParts(HostId self) {
        this.self = self;
    }

    /** Records what a host was asked to admit. */
    void addDemand(HostId host, int requests, long nowNanos) {
        demand.computeIfAbsent(host, id -> new DecayingCount()).add(requests, nowNanos);
        demandChanged = true;
    }

    /** Takes the present parts for agreed if demand has changed; called at each exchange of reports while all hosts are heard. */
    void agree(Participants participants, long nowNanos) {
        if (demandChanged) {
            agreedParts = divide(participants.reached(nowNanos), nowNanos);
            demandChanged = false;
        }
    }

    /** Returns the part of the quota that this host may use. */
    double usablePart(Participants participants, long nowNanos) {
        Set<HostId> reached = participants.reached(nowNanos);
        if (participants.isStarting(nowNanos)) {
            return participants.mayStart(nowNanos) ? 1.0 / reached.size() : 0;
        }
        double part = divide(reached, nowNanos).get(self);
        if (participants.silent(nowNanos).isEmpty()) {
            return part;
        }
        if (participants.mustStop(nowNanos)) {
            return 0;
        }
        double partIfNotAgreed =
                agreedParts.isEmpty() ? 1.0 / participants.members().size() : 0;
        double withheld = participants.withholding(nowNanos).stream()
                .mapToDouble(host -> agreedParts.getOrDefault(host, partIfNotAgreed))
                .sum();
        return part * Math.max(0, 1 - withheld);
    }

    private Map<HostId, Double> divide(Set<HostId> hosts, long nowNanos) {
        Map<HostId, Double> requests = new HashMap<>();
        double total = 0;
        for (HostId host : hosts) {
            DecayingCount counted = demand.get(host);
            double value = counted == null ? 0 : counted.at(nowNanos);
            requests.put(host, value);
            total += value;
        }
        double equalPart = 1.0 / hosts.size();
        Map<HostId, Double> parts = new HashMap<>();
        for (HostId host : hosts) {
            double byDemand = total > 0 ? requests.get(host) / total : equalPart;
            parts.put(host, EQUAL_PART * equalPart + (1 - EQUAL_PART) * byDemand);
        }
        return parts;
    }
}
