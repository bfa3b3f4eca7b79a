package org.gooseberryhill.link;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.Lazy;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON, with the same settings in all processes. Thread-safe. */
public final class Json {
    private static final Lazy<ObjectMapper> MAPPER = Lazy.of(() -> new ObjectMapper(JsonTrees.newFactory())
            .registerModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES));

    private Json() {}

    /** Returns the shared mapper, for typed values. */
    public static ObjectMapper mapper() {
        return MAPPER.get();
    }

    /** Returns a new empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns a new empty array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Writes a tree as one line of JSON. */
    public static String text(JsonNode tree) {
        return new String(JsonTrees.write(tree), StandardCharsets.UTF_8);
    }

    /** Writes a tree as UTF-8 JSON. */
    public static byte[] bytes(JsonNode tree) {
        return JsonTrees.write(tree);
    }

    /** Writes a value as one line of JSON. */
    public static String text(Object value) {
        try {
            return mapper().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /** Writes a value as UTF-8 JSON. */
    public static byte[] bytes(Object value) {
        try {
            return mapper().writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /** Reads a value; a failure tells where parsing failed and why. */
    public static <T> Try<T> read(byte[] json, Class<T> type) {
        int start = JsonTrees.startOf(json);
        return Try.of(() -> mapper().readValue(json, start, json.length - start, type));
    }

    /** Reads a tree; a failure tells where parsing failed and why. */
    public static Try<JsonNode> tree(byte[] json) {
        return Try.of(() -> JsonTrees.read(json));
    }
}
