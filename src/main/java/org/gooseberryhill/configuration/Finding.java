package org.gooseberryhill.configuration;

/**
 * One mistake in the text, with its place and how to mend it. Immutable.
 *
 * @param file the file's name as the operator gave it
 * @param place where the mistake stands
 * @param key the path of the key concerned, such as {@code endpoints.tutor-01.slots}
 * @param messageKey the key of the message, stable between versions
 * @param message what is wrong
 * @param remedy how to mend it
 */
public record Finding(String file, Place place, String key, String messageKey, String message, String remedy) {
    /** The finding as one line, {@code file:line:column: key: message (remedy) [message key]}. */
    public String line() {
        return "%s:%d:%d: %s: %s (%s) [%s]"
                .formatted(file, place.line(), place.column(), key, message, remedy, messageKey);
    }
}
