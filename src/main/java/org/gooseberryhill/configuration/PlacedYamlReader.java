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
 * Parses YAML into {@link PlacedNode}s, which keep the positions that the parser reports. Stateless and thread-safe.
 */
final class PlacedYamlReader {
    private static final YAMLFactory FACTORY = new YAMLFactory();
    private static final Place START = new Place(1, 1);

    private PlacedYamlReader() {}

    /** Returns the root node of the text; adds a finding and returns empty if the text cannot be parsed. */
    static Optional<PlacedNode> read(String text, Findings findings) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() == null) {
                return Optional.of(new PlacedNode.Mapping(START, Map.of(), Map.of()));
            }
            return Optional.of(node(parser, "", findings));
        } catch (JsonProcessingException e) {
            findings.add(place(e.getLocation()), "", "yaml.syntax", firstLine(e.getOriginalMessage()));
            return Optional.empty();
        } catch (IOException e) {
            findings.add(START, "", "yaml.syntax", firstLine(String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private static PlacedNode node(JsonParser parser, String path, Findings findings) throws IOException {
        Place place = place(parser.currentTokenLocation());
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return mapping(parser, place, path, findings);
        }
        if (token == JsonToken.START_ARRAY) {
            return sequence(parser, place, path, findings);
        }
        return new PlacedNode.Scalar(place, token == JsonToken.VALUE_NULL ? "" : parser.getText());
    }

    private static PlacedNode mapping(JsonParser parser, Place place, String path, Findings findings)
            throws IOException {
        Map<String, PlacedNode> entries = new LinkedHashMap<>();
        Map<String, Place> keyPlaces = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            Place keyPlace = place(parser.currentTokenLocation());
            String keyPath = path.isEmpty() ? key : path + "." + key;
            parser.nextToken();
            PlacedNode value = node(parser, keyPath, findings);
            if (entries.putIfAbsent(key, value) != null) {
                findings.add(keyPlace, keyPath, "key.duplicate");
            }
            keyPlaces.putIfAbsent(key, keyPlace);
        }
        return new PlacedNode.Mapping(place, entries, keyPlaces);
    }

    private static PlacedNode sequence(JsonParser parser, Place place, String path, Findings findings)
            throws IOException {
        List<PlacedNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(node(parser, path + "[" + items.size() + "]", findings));
        }
        return new PlacedNode.Sequence(place, items);
    }

    private static Place place(JsonLocation location) {
        if (location == null) {
            return START;
        }
        return new Place(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
    }

    private static String firstLine(String message) {
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
