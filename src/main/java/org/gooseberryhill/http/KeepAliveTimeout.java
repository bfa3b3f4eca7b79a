package org.gooseberryhill.http;

import java.util.OptionalLong;

/**
 * Parses the idle timeout that a peer announces in its {@code Keep-Alive} header. Stateless.
 *
 * <p>Example: {@code timeout=5, max=100}.
 */
final class KeepAliveTimeout {
    private static final String TIMEOUT = "timeout";

    /** A value with more digits is not a realistic timeout and is ignored. */
    private static final int MAX_DIGITS = 6;

    private KeepAliveTimeout() {}

    /** Returns the timeout in seconds; empty if the header has none or it is not a whole number. */
    static OptionalLong seconds(String header) {
        for (String parameter : header.split(",")) {
            int equals = parameter.indexOf('=');
            boolean isTimeout =
                    equals > 0 && parameter.substring(0, equals).strip().equalsIgnoreCase(TIMEOUT);
            if (isTimeout) {
                return parseNumber(parameter.substring(equals + 1).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parseNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_DIGITS || !text.chars().allMatch(Character::isDigit)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text));
    }
}
