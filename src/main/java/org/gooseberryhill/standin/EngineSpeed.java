package org.gooseberryhill.standin;

/**
 * How fast an engine stand-in works. Immutable.
 *
 * @param slots requests at once before the steps grow longer
 * @param stepMillis a step with one request in it: one token for each request
 * @param prefillTokensPerStep prompt tokens taken in a step, unless they are cached
 * @param cachedPrefixes how many prompt beginnings the cache holds
 */
public record EngineSpeed(int slots, double stepMillis, int prefillTokensPerStep, int cachedPrefixes) {
    /** A small engine for tests and the demo. */
    public static final EngineSpeed SMALL = new EngineSpeed(8, 10, 256, 16);

    /** The length of a step with this many requests in it, in milliseconds: flat up to the slots, then growing. */
    public double stepMillis(int active) {
        double within = 1 + 0.25 * Math.min(active, slots) / slots;
        double beyond = Math.max(0, active - slots) * 2.0 / slots;
        return stepMillis * (within + beyond);
    }
}
