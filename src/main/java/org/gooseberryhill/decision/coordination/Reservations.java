package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/**
 * The slots that a coordinator has assigned to hosts and that the hosts' reports do not cover yet. Not thread-safe.
 *
 * <p>Guards against counts that forget a slot between its assignment and the host's next report, which was on its way
 * already, and would assign the slot twice.
 */
final class Reservations {
    private final Map<HostId, List<Reservation>> byHost = new HashMap<>();
    private long lastNumber;

    /**
     * Creates an empty instance.
     *
     * @param firstNumber lower bound of the numbers; greater than those of an earlier process of the same host
     */
    Reservations(long firstNumber) {
        this.lastNumber = firstNumber;
    }

    /** Adds a reservation and returns its number. */
    long add(HostId host, EndpointKey endpoint, boolean batch, long nowNanos) {
        lastNumber++;
        byHost.computeIfAbsent(host, id -> new ArrayList<>())
                .add(new Reservation(lastNumber, endpoint, batch, nowNanos));
        return lastNumber;
    }

    /** Removes a reservation that a host has used or returned; empty if it is not known any more. */
    Optional<Reservation> remove(HostId host, long number) {
        Iterator<Reservation> reservations =
                byHost.getOrDefault(host, List.of()).iterator();
        while (reservations.hasNext()) {
            Reservation reservation = reservations.next();
            if (reservation.number == number) {
                reservations.remove();
                return Optional.of(reservation);
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the grants to batch items that were neither used nor returned in time, by host. */
    Map<HostId, List<Reservation>> takeExpiredGrants(long maxAgeNanos, long nowNanos) {
        Map<HostId, List<Reservation>> expired = new HashMap<>();
        byHost.forEach((host, reservations) -> {
            List<Reservation> old = reservations.stream()
                    .filter(reservation -> reservation.batch && nowNanos - reservation.madeNanos > maxAgeNanos)
                    .toList();
            if (!old.isEmpty()) {
                reservations.removeAll(old);
                expired.put(host, old);
            }
        });
        return expired;
    }

    /** Removes the reservations that a host's report covers, and those that got lost, and returns the others. */
    List<Reservation> retainAfter(HostId host, long lastReceived, long maxAgeNanos, long nowNanos) {
        List<Reservation> reservations = byHost.get(host);
        if (reservations == null) {
            return List.of();
        }
        reservations.removeIf(
                reservation -> reservation.number <= lastReceived || nowNanos - reservation.madeNanos > maxAgeNanos);
        return reservations;
    }

    /** Returns the number of grants to batch items with greater numbers than the given one. */
    int grantsAfter(HostId host, long lastReceived) {
        return (int) byHost.getOrDefault(host, List.of()).stream()
                .filter(reservation -> reservation.batch && reservation.number > lastReceived)
                .count();
    }

    void removeHost(HostId host) {
        byHost.remove(host);
    }

    /**
     * A slot that was assigned to a host.
     *
     * @param batch whether it is for an item of a batch
     */
    record Reservation(long number, EndpointKey endpoint, boolean batch, long madeNanos) {}
}
