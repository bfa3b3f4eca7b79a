package org.gooseberryhill.configuration;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses YAML into {@link YamlNode}s, which keep the positions that the parser reports. Stateless and thread-safe.
 */
final class YamlNodeReader {
    private static final YAMLFactory FACTORY = new YAMLFactory();
    private static final TextPosition START = new TextPosition(1, 1);

    private YamlNodeReader() {}

    /** Returns the root node of the text; adds a finding and returns empty if the text cannot be parsed. */
    static Optional<YamlNode> read(String text, Findings findings) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                return Optional.of(new YamlNode.Mapping(START, Map.of(), Map.of()));
            }
            return Optional.of(node(parser, "", findings));
        } catch (JsonProcessingException e) {
            findings.add(position(e.getLocation()), "", "yaml.syntax", firstLine(e.getOriginalMessage()));
            return Optional.empty();
        } catch (IOException e) {
            findings.add(START, "", "yaml.syntax", firstLine(String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private static YamlNode node(JsonParser parser, String path, Findings findings) throws IOException {
        TextPosition position = position(parser.currentTokenLocation());
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return mapping(parser, position, path, findings);
        }
        if (token == JsonToken.START_ARRAY) {
            return sequence(parser, position, path, findings);
        }
        return new YamlNode.Scalar(position, token == JsonToken.VALUE_NULL ? "" : parser.getText());
    }

    private static YamlNode mapping(JsonParser parser, TextPosition position, String path, Findings findings)
            throws IOException {
        Map<String, YamlNode> entries = new LinkedHashMap<>();
        Map<String, TextPosition> keyPositions = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            TextPosition keyPosition = position(parser.currentTokenLocation());
            String keyPath = path.isEmpty() ? key : path + "." + key;
            parser.nextToken();
            YamlNode value = node(parser, keyPath, findings);
            if (entries.putIfAbsent(key, value) != null) {
                findings.add(keyPosition, keyPath, "key.duplicate");
            }
            keyPositions.putIfAbsent(key, keyPosition);
        }
        return new YamlNode.Mapping(position, entries, keyPositions);
    }

    private static YamlNode sequence(JsonParser parser, TextPosition position, String path, Findings findings)
            throws IOException {
        List<YamlNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(node(parser, path + "[" + items.size() + "]", findings));
        }
        return new YamlNode.Sequence(position, items);
    }

    private static TextPosition position(JsonLocation location) {
        if (location == null) {
            return START;
        }
        return new TextPosition(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
    }

    private static String firstLine(String message) {
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
