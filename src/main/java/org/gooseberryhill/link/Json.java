package org.gooseberryhill.link;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;
import java.io.IOException;

/** JSON as text and bytes, with one set of rules for all processes. Thread-safe. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /** The shared mapper, for tree building. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** A new empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Writes a value as one line of JSON. */
    public static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not expressible as JSON: " + value.getClass(), e);
        }
    }

    /** Writes a value as UTF-8 JSON. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not expressible as JSON: " + value.getClass(), e);
        }
    }

    /** Reads a value; a failure carries the parser's place and reason. */
    public static <T> Try<T> read(byte[] json, Class<T> type) {
        return Try.of(() -> MAPPER.readValue(json, type));
    }

    /** Reads a tree; a failure carries the parser's place and reason. */
    public static Try<JsonNode> tree(byte[] json) {
        return Try.of(() -> {
            JsonNode node = MAPPER.readTree(json);
            if (node == null || node.isMissingNode()) {
                throw new IOException("empty");
            }
            return node;
        });
    }
}
