package org.gooseberryhill.link;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A reading of a hybrid logical clock: milliseconds since the epoch, then a counter. Immutable.
 *
 * <p>Order of the packed values respects cause and effect between processes (Kulkarni et al., 2014).
 *
 * @param packed the milliseconds in the upper 48 bits, the counter in the lower 16
 */
public record HybridTimestamp(@JsonValue long packed) implements Comparable<HybridTimestamp> {
    private static final int COUNTER_BITS = 16;

    /** Reads the packed form from a message. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HybridTimestamp {}

    /** The first timestamp of a millisecond. */
    public static HybridTimestamp ofMillis(long epochMillis) {
        return new HybridTimestamp(epochMillis << COUNTER_BITS);
    }

    /** The wall-clock part in milliseconds since the epoch. */
    public long epochMillis() {
        return packed >>> COUNTER_BITS;
    }

    /** The least timestamp after this one; a full counter carries into the milliseconds. */
    public HybridTimestamp next() {
        return new HybridTimestamp(packed + 1);
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        return Long.compare(packed, other.packed);
    }
}
