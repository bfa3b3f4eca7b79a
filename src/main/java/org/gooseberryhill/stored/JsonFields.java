package org.gooseberryhill.stored;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the required fields of stored values. Stateless.
 *
 * <p>Invariant: a field is returned as it was written, or an {@link IllegalArgumentException} names it. A text that is
 * missing does not become null, and a number does not wrap.
 */
final class JsonFields {
    private JsonFields() {}

    static String text(JsonNode json, String field) {
        JsonNode found = json.path(field);
        check(found.isTextual(), field);
        return found.textValue();
    }

    static long longNumber(JsonNode json, String field) {
        JsonNode found = json.path(field);
        check(found.isIntegralNumber() && found.canConvertToLong(), field);
        return found.longValue();
    }

    static int intNumber(JsonNode json, String field) {
        JsonNode found = json.path(field);
        check(isInt(found), field);
        return found.intValue();
    }

    /** Returns an element of a list as a number. */
    static int intNumber(JsonNode element) {
        check(isInt(element), "an element");
        return element.intValue();
    }

    static boolean flag(JsonNode json, String field) {
        JsonNode found = json.path(field);
        check(found.isBoolean(), field);
        return found.booleanValue();
    }

    static JsonNode list(JsonNode json, String field) {
        JsonNode found = json.path(field);
        check(found.isArray(), field);
        return found;
    }

    /** Returns a value that has to be a list itself. */
    static JsonNode list(JsonNode json) {
        check(json.isArray(), "the value");
        return json;
    }

    private static boolean isInt(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToInt();
    }

    private static void check(boolean valid, String name) {
        if (!valid) {
            throw new IllegalArgumentException(name + " is missing or has the wrong type or range");
        }
    }
}
