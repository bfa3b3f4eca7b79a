package org.gooseberryhill.link;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's streaming API. Thread-safe.
 *
 * <p>Jackson's {@code ObjectMapper} does the same, but creating it adds 0.1 s to the start of a process, during which
 * the callers of a restarting host wait. Therefore a starting host reads and writes its JSON with this class.
 *
 * <p>Invariant: a tree that was read is nested {@value #MAX_NESTING_DEPTH} levels deep at most, and reading takes the same
 * stack for any text. Texts come from other writers, and a stack overflow ends the thread that reads them.
 */
final class JsonTrees {
    /** Trees are compared, hashed and written recursively, on threads whose stacks are as small as 256 KB. */
    static final int MAX_NESTING_DEPTH = 200;

    private static final JsonFactory FACTORY = newFactory();
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xef, (byte) 0xbb, (byte) 0xbf};
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Creates a factory of parsers that read UTF-8 and refuse what is nested too deep. */
    static JsonFactory newFactory() {
        return JsonFactory.builder()
                .disable(JsonFactory.Feature.CHARSET_DETECTION)
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING_DEPTH)
                        .build())
                .build();
    }

    /** Reads the first value of a UTF-8 text, which may begin with a byte order mark; ignores what follows it. */
    static JsonNode read(byte[] json) throws IOException {
        int start = startOf(json);
        try (JsonParser parser = FACTORY.createParser(json, start, json.length - start)) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IOException("empty");
            }
            return readValue(parser, token);
        }
    }

    /** Returns the position of the first byte behind a byte order mark. */
    static int startOf(byte[] json) {
        int length = Math.min(json.length, BYTE_ORDER_MARK.length);
        boolean marked = Arrays.equals(json, 0, length, BYTE_ORDER_MARK, 0, BYTE_ORDER_MARK.length);
        return marked ? length : 0;
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

    private static JsonNode readValue(JsonParser parser, JsonToken firstToken) throws IOException {
        if (!firstToken.isStructStart()) {
            return readScalar(parser, firstToken);
        }
        ContainerNode<?> root = newContainer(firstToken);
        Deque<ContainerNode<?>> open = new ArrayDeque<>();
        open.push(root);
        while (!open.isEmpty()) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new JsonEOFException(parser, null, "the text ends within a value");
            }
            if (token.isStructEnd()) {
                open.pop();
            } else if (token.isStructStart()) {
                ContainerNode<?> container = newContainer(token);
                add(open.peek(), parser.currentName(), container);
                open.push(container);
            } else if (token != JsonToken.FIELD_NAME) {
                add(open.peek(), parser.currentName(), readScalar(parser, token));
            }
        }
        return root;
    }

    private static ContainerNode<?> newContainer(JsonToken start) {
        return start == JsonToken.START_OBJECT ? NODES.objectNode() : NODES.arrayNode();
    }

    private static void add(ContainerNode<?> container, String name, JsonNode value) {
        if (container instanceof ObjectNode object) {
            object.set(name, value);
        } else if (container instanceof ArrayNode array) {
            array.add(value);
        }
    }

    private static JsonNode readScalar(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "unexpected " + token);
        };
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
