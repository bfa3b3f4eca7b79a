package org.gooseberryhill.decision.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells which endpoints answer online requests slower than their class target. Not thread-safe.
 *
 * <p>The target is for 95 in 100 (letter 1): an endpoint is slow while more than that share of its latest samples is
 * beyond it. Samples fade, so that an old burst does not hold batch back.
 */
public final class TailWatch {
    private static final double ALLOWED_SHARE = 0.05;
    private static final double FADE = 0.98;
    private static final double MIN_SAMPLES = 10;

    private final Map<String, Samples> byEndpoint = new HashMap<>();

    /** First tokens and gaps between tokens were seen, some of them beyond the target. */
    public void samples(String endpoint, int number, int beyondTarget) {
        byEndpoint.computeIfAbsent(endpoint, key -> new Samples()).add(number, beyondTarget);
    }

    /** The endpoints that are slow now; each is named once for the samples since it was last named. */
    public Set<String> takeSlow() {
        Set<String> slow = new HashSet<>();
        byEndpoint.forEach((endpoint, samples) -> {
            if (samples.isSlow()) {
                slow.add(endpoint);
                samples.clear();
            }
        });
        return slow;
    }

    /** Faded counts of one endpoint. */
    private static final class Samples {
        private double total;
        private double beyond;

        void add(int number, int numberBeyond) {
            double fade = Math.pow(FADE, number);
            total = total * fade + number;
            beyond = beyond * fade + numberBeyond;
        }

        boolean isSlow() {
            return total >= MIN_SAMPLES && beyond > ALLOWED_SHARE * total;
        }

        void clear() {
            total = 0;
            beyond = 0;
        }
    }
}
