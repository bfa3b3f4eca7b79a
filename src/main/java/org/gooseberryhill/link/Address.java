package org.gooseberryhill.link;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Optional;

/**
 * An IP address and a port. Immutable.
 *
 * @param ip the IP address as text
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65535;
    private static final int HASH_FACTOR = 31;

    /**
     * Parses {@code ip:port} from a trusted message; throws {@link IllegalArgumentException} if the text is malformed.
     */
    @JsonCreator
    public static Address of(String text) {
        return parse(text).orElseThrow(() -> new IllegalArgumentException("not ip:port: " + text));
    }

    /** Parses {@code ip:port}; empty if the text is malformed. */
    public static Optional<Address> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                return Optional.empty();
            }
            return Optional.of(new Address(text.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    @JsonValue
    public String toString() {
        return ip + ":" + port;
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && ip.equals(that.ip);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * ip.hashCode() + port;
    }
}
