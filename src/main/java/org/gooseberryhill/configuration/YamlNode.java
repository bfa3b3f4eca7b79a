package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Map;

/** A node of the parsed YAML, with its position in the text. Immutable and thread-safe. */
public sealed interface YamlNode {
    /** Returns the position at which the node begins. */
    TextPosition position();

    /**
     * A mapping, in the order of the text.
     *
     * @param position the position at which it begins
     * @param entries the values by key
     * @param keyPositions the positions of the keys
     */
    record Mapping(TextPosition position, Map<String, YamlNode> entries, Map<String, TextPosition> keyPositions)
            implements YamlNode {}

    /**
     * A sequence.
     *
     * @param position the position at which it begins
     * @param items the items in order
     */
    record Sequence(TextPosition position, List<YamlNode> items) implements YamlNode {}

    /**
     * A scalar value.
     *
     * @param position the position of the value
     * @param text the value as written, without quotes
     */
    record Scalar(TextPosition position, String text) implements YamlNode {}
}
