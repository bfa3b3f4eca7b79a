package org.gooseberryhill.decision.zone;

/**
 * The load of a zone or of a group of endpoints of one service. Immutable.
 *
 * @param slots number of slots of its usable endpoints
 * @param online number of online requests in flight there
 */
public record ZoneLoad(int slots, int online) {
    /** The load of a zone without groups. */
    public static final ZoneLoad NONE = new ZoneLoad(0, 0);

    private static final double TIGHT_FLUCTUATIONS = 6;
    private static final double DEVIATIONS_IN_SAMPLE = 0.5;

    /** Returns the sum of two loads. */
    public ZoneLoad plus(ZoneLoad other) {
        return new ZoneLoad(slots + other.slots, online + other.online);
    }

    /** Returns the number of free slots beyond those that the load fluctuates by. */
    int room() {
        return (int) Math.max(0, slots - online - Math.ceil(fluctuation()));
    }

    /**
     * Returns whether the slots may be used up before the load is sampled a few times more. At the
     * start of a load peak a zone of the sites in use gets 18 more requests within a sample, three times what it fluctuates by.
     */
    boolean isTight() {
        return slots - online <= TIGHT_FLUCTUATIONS * fluctuation();
    }

    /** Returns whether this load, with what it fluctuates by, takes a smaller share of the slots than another. */
    boolean isClearlyBelow(ZoneLoad other) {
        return (online + fluctuation()) * other.slots < (double) other.online * slots
                || (other.slots == 0 && slots > 0);
    }

    /**
     * Returns what the number of requests in flight varies by within a sample: the arrivals and ends in 0.1 s, of requests that
     * last about 0.75 s, vary by about half of the square root of the number in flight.
     */
    private double fluctuation() {
        return DEVIATIONS_IN_SAMPLE * Math.sqrt(online);
    }
}
