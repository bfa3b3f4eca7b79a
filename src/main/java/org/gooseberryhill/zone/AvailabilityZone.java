package org.gooseberryhill.zone;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an availability zone. Immutable.
 *
 * @param name the platform's name of the zone, as in the process's settings
 */
public record AvailabilityZone(@JsonValue String name) {
    /** Creates a zone name; also used to deserialize messages. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AvailabilityZone {}

    @Override
    public String toString() {
        return name;
    }

    // Explicit, since linking the generated methods at their first use adds some ten milliseconds to a host's start.
    @Override
    public boolean equals(Object other) {
        return other instanceof AvailabilityZone that && name.equals(that.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
