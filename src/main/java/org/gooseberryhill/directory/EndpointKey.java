package org.gooseberryhill.directory;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The identity of one start of an endpoint. Immutable.
 *
 * <p>An endpoint that restarts under its id has lost its running requests and its caches, so nothing known about the
 * earlier start applies to it.
 *
 * @param id the name under which it registered
 * @param startedAtMillis when it started, in epoch milliseconds
 */
public record EndpointKey(String id, long startedAtMillis) implements Comparable<EndpointKey> {
    private static final char SEPARATOR = '@';
    private static final int HASH_FACTOR = 31;

    /** Parses the format of {@link #toString}. */
    @JsonCreator
    public static EndpointKey of(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at < 0) {
            throw new IllegalArgumentException("not id@start: " + text);
        }
        return new EndpointKey(text.substring(0, at), Long.parseLong(text.substring(at + 1)));
    }

    @Override
    public int compareTo(EndpointKey other) {
        int byId = id.compareTo(other.id);
        return byId != 0 ? byId : Long.compare(startedAtMillis, other.startedAtMillis);
    }

    @Override
    @JsonValue
    public String toString() {
        return id + SEPARATOR + startedAtMillis;
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointKey that && startedAtMillis == that.startedAtMillis && id.equals(that.id);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * id.hashCode() + Long.hashCode(startedAtMillis);
    }
}
