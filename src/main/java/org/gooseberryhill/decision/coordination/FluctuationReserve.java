package org.gooseberryhill.decision.coordination;

/**
 * Leaves as many slots free as the number of online requests fluctuates by. Stateless.
 *
 * <p>Load pattern: online requests arrive at random, so that their number in flight varies around its mean by about the
 * mean's square root even while the load is steady. Items that start in slots of that range have to yield within a fraction
 * of a second, and each such run costs a connection and the processing of its prompt.
 */
public final class FluctuationReserve implements SlotReserve {
    private static final double DEVIATIONS = 1;

    @Override
    public int reservedSlots(int slots, int online) {
        return (int) Math.min(slots, Math.ceil(DEVIATIONS * Math.sqrt(online)));
    }
}
