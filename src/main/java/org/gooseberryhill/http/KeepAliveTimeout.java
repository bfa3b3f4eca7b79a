package org.gooseberryhill.http;

import java.util.OptionalLong;

/**
 * How long the other side of a connection keeps it while it is idle, as its {@code Keep-Alive} header says. Stateless.
 *
 * <p>Example: {@code timeout=5, max=100}.
 */
final class KeepAliveTimeout {
    private static final String TIMEOUT = "timeout";

    /** More digits are no timeout that anybody keeps. */
    private static final int MAX_DIGITS = 6;

    private KeepAliveTimeout() {}

    /** The time in seconds; empty if the header tells none. */
    static OptionalLong seconds(String header) {
        for (String parameter : header.split(",")) {
            int equals = parameter.indexOf('=');
            boolean named = equals > 0 && parameter.substring(0, equals).strip().equalsIgnoreCase(TIMEOUT);
            if (named) {
                return number(parameter.substring(equals + 1).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong number(String text) {
        if (text.isEmpty() || text.length() > MAX_DIGITS || !text.chars().allMatch(Character::isDigit)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text));
    }
}
