package org.gooseberryhill.link;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's streaming API. Thread-safe.
 *
 * <p>Jackson's {@code ObjectMapper} does the same, but creating it adds 0.1 s to the start of a process, during which
 * the callers of a restarting host wait. Therefore a starting host reads and writes its JSON with this class.
 */
final class JsonTrees {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Reads the first value of a text; ignores what follows it. */
    static JsonNode read(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IOException("empty");
            }
            return readValue(parser, token);
        }
    }

    /** Writes a tree as UTF-8 JSON. */
    static byte[] write(JsonNode node) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(buffer)) {
            write(node, generator);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + node.getNodeType(), e);
        }
        return buffer.toByteArray();
    }

    private static JsonNode readValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "unexpected " + token);
        };
    }

    private static JsonNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            object.set(name, readValue(parser, parser.nextToken()));
        }
        return object;
    }

    private static JsonNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            array.add(readValue(parser, token));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Map.Entry<String, JsonNode> field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : node) {
                    write(element, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case NUMBER -> writeNumber(node, generator);
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            case BINARY -> generator.writeBinary(node.binaryValue());
            case NULL, MISSING -> generator.writeNull();
            default -> throw new IOException("unsupported node type: " + node.getNodeType());
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            generator.writeNumber(node.longValue());
        } else if (node.isBigInteger()) {
            generator.writeNumber(node.bigIntegerValue());
        } else if (node.isBigDecimal()) {
            generator.writeNumber(node.decimalValue());
        } else {
            generator.writeNumber(node.doubleValue());
        }
    }
}
