package org.gooseberryhill.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.gooseberryhill.link.Address;

/**
 * Parses the settings of a program and collects findings on them, so that all are reported before anything starts. A
 * method that parses a setting always returns a usable value, also if the setting is invalid. Not thread-safe.
 */
final class SettingsReader {
    private static final Address PLACEHOLDER_ADDRESS = new Address("127.0.0.1", 1);

    private final List<String> findings = new ArrayList<>();

    /** Returns a required text. */
    String requiredText(String flag, String value) {
        if (value == null || value.isBlank()) {
            findings.add(flag + " is missing; set it or " + environmentVariable(flag));
            return "missing";
        }
        return value;
    }

    /** Parses a required IP address and port. */
    Address address(String flag, String value) {
        String text = requiredText(flag, value);
        Optional<Address> address = Address.parse(text);
        if (address.isEmpty() && value != null && !value.isBlank()) {
            findings.add(flag + ": \"" + text + "\" is not an IP address and a port, such as 10.0.0.7:8000");
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    /** Parses an optional IP address and port. */
    Optional<Address> optionalAddress(String flag, String value) {
        return value == null || value.isBlank() ? Optional.empty() : Optional.of(address(flag, value));
    }

    /** Parses an integer within a range, both bounds included. */
    long number(String flag, String value, long min, long max) {
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            return reportOutOfRange(flag, value, min, max);
        }
        return reportOutOfRange(flag, value, min, max);
    }

    /** Returns a text that must be one of the given choices; the first one if it is invalid. */
    String choice(String flag, String value, String... choices) {
        if (!List.of(choices).contains(value)) {
            findings.add(flag + ": \"" + value + "\" is not one of " + String.join(", ", choices));
            return choices[0];
        }
        return value;
    }

    /** Throws a {@link SettingsException} with all findings, if there are any. */
    void requireNoFindings() {
        if (!findings.isEmpty()) {
            throw new SettingsException(findings);
        }
    }

    /** Returns the name of the environment variable for a flag. */
    static String environmentVariable(String flag) {
        return "GOOSEBERRY_" + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private long reportOutOfRange(String flag, String value, long min, long max) {
        findings.add(flag + ": \"" + value + "\" is not a whole number from " + min + " to " + max);
        return min;
    }
}
