package org.gooseberryhill.link;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A timestamp of a hybrid logical clock: epoch milliseconds and a counter. Immutable.
 *
 * <p>The order of the packed values is consistent with causality across processes (Kulkarni et al., 2014).
 *
 * @param packed the milliseconds in the upper 48 bits, the counter in the lower 16
 */
public record HybridTimestamp(@JsonValue long packed) implements Comparable<HybridTimestamp> {
    private static final int COUNTER_BITS = 16;

    /** Creates a timestamp from its packed form. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HybridTimestamp {}

    /** Returns the first timestamp of a millisecond. */
    public static HybridTimestamp ofMillis(long epochMillis) {
        return new HybridTimestamp(epochMillis << COUNTER_BITS);
    }

    /** Returns the wall-clock part in epoch milliseconds. */
    public long epochMillis() {
        return packed >>> COUNTER_BITS;
    }

    /** Returns the next greater timestamp; a counter overflow carries into the milliseconds. */
    public HybridTimestamp next() {
        return new HybridTimestamp(packed + 1);
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        return Long.compare(packed, other.packed);
    }
}
