package org.gooseberryhill.external;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;

/**
 * The state of a key as of a revision. Immutable, provided that the array is not modified.
 *
 * @param key the key
 * @param value its value; empty if the revision deleted it
 * @param revision the revision that wrote or deleted it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyChange(String key, Optional<byte[]> value, long revision) {
    /** Returns the change of a key that a revision wrote. */
    public static KeyChange written(String key, byte[] value, long revision) {
        return new KeyChange(key, Optional.of(value), revision);
    }

    /** Returns the change of a key that a revision deleted. */
    public static KeyChange deleted(String key, long revision) {
        return new KeyChange(key, Optional.empty(), revision);
    }

    /**
     * Returns an entry that exists, but whose value or revision can't be read. It changes nothing in a view: its revision
     * precedes all others.
     */
    public static KeyChange unreadable(String key) {
        return new KeyChange(key, Optional.empty(), 0);
    }
}
