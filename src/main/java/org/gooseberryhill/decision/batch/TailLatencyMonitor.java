package org.gooseberryhill.decision.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects endpoints whose online latency exceeds the latency target of their service. Not thread-safe.
 *
 * <p>The target applies to 95 % of the samples: an endpoint is slow while more than 5 % of its recent samples exceed
 * it. Older samples lose weight exponentially, so that a past burst does not hold back batch items.
 */
public final class TailLatencyMonitor {
    private static final double MAX_SLOW_SHARE = 0.05;
    private static final double DECAY_PER_SAMPLE = 0.98;
    private static final double MIN_SAMPLES = 10;

    private final Map<String, Samples> byEndpoint = new HashMap<>();

    /**
     * Records latency samples of an endpoint, for first tokens and for gaps between tokens.
     *
     * @param number the number of samples
     * @param beyondTarget how many of them exceeded the target
     */
    public void recordSamples(String endpoint, int number, int beyondTarget) {
        byEndpoint.computeIfAbsent(endpoint, key -> new Samples()).add(number, beyondTarget);
    }

    /** Returns the endpoints that are slow now, and discards their samples so that each sample counts once. */
    public Set<String> takeSlowEndpoints() {
        Set<String> slow = new HashSet<>();
        byEndpoint.forEach((endpoint, samples) -> {
            if (samples.isSlow()) {
                slow.add(endpoint);
                samples.clear();
            }
        });
        return slow;
    }

    /** Exponentially decayed sample counts of one endpoint. */
    private static final class Samples {
        private double total;
        private double beyondTarget;

        void add(int number, int numberBeyondTarget) {
            double decay = Math.pow(DECAY_PER_SAMPLE, number);
            total = total * decay + number;
            beyondTarget = beyondTarget * decay + numberBeyondTarget;
        }

        boolean isSlow() {
            return total >= MIN_SAMPLES && beyondTarget > MAX_SLOW_SHARE * total;
        }

        void clear() {
            total = 0;
            beyondTarget = 0;
        }
    }
}
