package org.gooseberryhill.link;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.netty.util.NetUtil;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Immutable.
 *
 * <p>Addresses that are parsed hold the literal of an IP address. A host name would be resolved by the thread that connects,
 * which is one of few and serves other connections meanwhile.
 *
 * @param ip the IP address as text
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65535;
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
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
        String ip = text.substring(0, colon);
        String portText = text.substring(colon + 1);
        if (!isIpAddress(ip) || !PORT.matcher(portText).matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(portText);
        return port >= 1 && port <= MAX_PORT ? Optional.of(new Address(ip, port)) : Optional.empty();
    }

    private static boolean isIpAddress(String text) {
        return NetUtil.isValidIpV4Address(text) || text.startsWith("[") && NetUtil.isValidIpV6Address(text);
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
