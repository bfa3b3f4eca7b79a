package org.gooseberryhill.decision.zone;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The cost of sending a request to another zone, in milliseconds: the round trip between hosts of both zones, and a price.
 * Not thread-safe.
 *
 * <p>The round trip is the shortest of the latest few, since the others contain the time until a busy host answers.
 */
public final class CrossingCost {
    /** A round trip between zones as long as none was measured. */
    private static final double INITIAL_MILLIS = 3;

    /** At ten questions a second, a slower link counts after about a second. */
    private static final int SAMPLES = 8;

    private final LongSupplier priceMillis;
    private final Map<AvailabilityZone, Deque<Long>> roundTripNanos = new HashMap<>();

    /** Creates a cost without measurements; the price may change at any time. */
    public CrossingCost(LongSupplier priceMillis) {
        this.priceMillis = priceMillis;
    }

    /** Records the time until a host of a zone answered. */
    void record(AvailabilityZone zone, long nanos) {
        Deque<Long> samples = roundTripNanos.computeIfAbsent(zone, key -> new ArrayDeque<>());
        samples.add(nanos);
        if (samples.size() > SAMPLES) {
            samples.remove();
        }
    }

    /** Returns the cost of sending a request to a zone. */
    double millis(AvailabilityZone zone) {
        return roundTripMillis(zone) + priceMillis.getAsLong();
    }

    private double roundTripMillis(AvailabilityZone zone) {
        return roundTripNanos.getOrDefault(zone, new ArrayDeque<>()).stream().mapToLong(Long::longValue).min().stream()
                .mapToDouble(nanos -> (double) nanos / TimeUnit.MILLISECONDS.toNanos(1))
                .findFirst()
                .orElse(INITIAL_MILLIS);
    }
}
