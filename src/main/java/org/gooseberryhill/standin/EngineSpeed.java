package org.gooseberryhill.standin;

/**
 * The speed of an engine stand-in. Immutable.
 *
 * @param slots number of concurrent requests above which steps take considerably longer
 * @param stepMillis base duration of a step; a step generates one token for each request
 * @param prefillTokensPerStep prompt tokens that a request processes in a step, unless its prefix is cached
 * @param cachedPrefixes capacity of the prompt cache, in prefixes
 */
public record EngineSpeed(int slots, double stepMillis, int prefillTokensPerStep, int cachedPrefixes) {
    /** A small engine for tests and the demo. */
    public static final EngineSpeed SMALL = new EngineSpeed(8, 10, 256, 16);

    /**
     * Returns the duration of a step with the given number of active requests, in milliseconds. It grows by at most a
     * quarter up to the number of slots, and steeply above it.
     */
    public double stepMillis(int activeRequests) {
        double withinSlots = 1 + 0.25 * Math.min(activeRequests, slots) / slots;
        double beyondSlots = Math.max(0, activeRequests - slots) * 2.0 / slots;
        return stepMillis * (withinSlots + beyondSlots);
    }
}
