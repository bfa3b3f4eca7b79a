package org.gooseberryhill.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates seeded Poisson arrivals with one burst in the middle of the window. Stateless. */
public final class Arrivals {
    private static final double BURST_BEGIN_SHARE = 0.4;
    private static final double BURST_END_SHARE = 0.6;
    private static final double NANOS_PER_SECOND = 1e9;

    private Arrivals() {}

    /** Returns the arrivals of a window in order of time; equal seeds give equal arrivals. */
    public static List<Arrival> generate(Workload workload, double seconds, long seed) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double offsetSeconds = 0;
        while (offsetSeconds < seconds) {
            boolean inBurst = offsetSeconds >= BURST_BEGIN_SHARE * seconds && offsetSeconds < BURST_END_SHARE * seconds;
            double rate = workload.requestsPerSecond() * (inBurst ? workload.burstFactor() : 1);
            offsetSeconds += -Math.log(1 - random.nextDouble()) / rate;
            arrivals.add(new Arrival(
                    (long) (offsetSeconds * NANOS_PER_SECOND), pickKind(workload, random), arrivals.size()));
        }
        return arrivals;
    }

    private static RequestKind pickKind(Workload workload, Random random) {
        int totalShare = workload.kinds().stream().mapToInt(RequestKind::share).sum();
        int remainingShare = random.nextInt(totalShare);
        for (RequestKind kind : workload.kinds()) {
            remainingShare -= kind.share();
            if (remainingShare < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the shares of the request kinds do not add up to their total");
    }

    /**
     * One request to send.
     *
     * @param offsetNanos intended time of sending, from the start of the window
     * @param kind the kind of request
     * @param number the position in the sequence of arrivals, from 0
     */
    public record Arrival(long offsetNanos, RequestKind kind, int number) {}
}
