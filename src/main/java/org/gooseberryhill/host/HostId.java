package org.gooseberryhill.host;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identity of one process of the system on one host. Immutable, ordered by its text.
 *
 * @param value a text that is unique in the fleet, from the process's settings
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Creates an identity; also used to deserialize messages. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public HostId {}

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    // Explicit, since linking the generated methods at their first use adds some ten milliseconds to a host's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof HostId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }
}
