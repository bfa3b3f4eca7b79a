package org.gooseberryhill.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates seeded Poisson arrivals with one burst in the middle of the window. Stateless. */
public final class Arrivals {
    private static final double BURST_BEGIN = 0.4;
    private static final double BURST_END = 0.6;
    private static final double NANOS_PER_SECOND = 1e9;

    private Arrivals() {}

    /** Returns the arrivals of a window in order of time; equal seeds give equal arrivals. */
    public static List<Arrival> of(Deployment deployment, double seconds, long seed) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double now = 0;
        while (now < seconds) {
            boolean burst = now >= BURST_BEGIN * seconds && now < BURST_END * seconds;
            double rate = deployment.requestsPerSecond() * (burst ? deployment.burstFactor() : 1);
            now += -Math.log(1 - random.nextDouble()) / rate;
            arrivals.add(new Arrival((long) (now * NANOS_PER_SECOND), pick(deployment, random), arrivals.size()));
        }
        return arrivals;
    }

    private static RequestKind pick(Deployment deployment, Random random) {
        int total = deployment.kinds().stream().mapToInt(RequestKind::share).sum();
        int place = random.nextInt(total);
        for (RequestKind kind : deployment.kinds()) {
            place -= kind.share();
            if (place < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the shares of the request kinds do not add up to their total");
    }

    /**
     * One request to send.
     *
     * @param atNanos intended time of sending, from the start of the window
     * @param kind the kind of request
     * @param number the position in the sequence of arrivals, from 0
     */
    public record Arrival(long atNanos, RequestKind kind, int number) {}
}
