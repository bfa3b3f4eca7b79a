package org.gooseberryhill.configuration;

/**
 * One error in a configuration text, with its position and a remedy. Immutable.
 *
 * @param file the file name as given by the operator
 * @param place the position of the error
 * @param key the path of the key, such as {@code endpoints.tutor-01.slots}
 * @param messageKey the key of the message, stable across versions
 * @param message what is wrong
 * @param remedy how to fix it
 */
public record Finding(String file, TextPosition place, String key, String messageKey, String message, String remedy) {
    /** Formats the finding as one line, {@code file:line:column: key: message (remedy) [message key]}. */
    public String format() {
        return "%s:%d:%d: %s: %s (%s) [%s]"
                .formatted(file, place.line(), place.column(), key, message, remedy, messageKey);
    }
}
