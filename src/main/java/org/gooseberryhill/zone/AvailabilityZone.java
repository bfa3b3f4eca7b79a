package org.gooseberryhill.zone;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an availability zone. Immutable.
 *
 * @param name the name that the platform gives it, as in the process's settings
 */
public record AvailabilityZone(@JsonValue String name) {
    /** Reads the name from a message. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AvailabilityZone {}

    @Override
    public String toString() {
        return name;
    }
}
