package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Map;

/** A node of the parsed YAML, with its position in the text. Immutable and thread-safe. */
public sealed interface PlacedNode {
    /** Returns the position at which the node begins. */
    Place place();

    /**
     * A mapping, in the order of the text.
     *
     * @param place the position at which it begins
     * @param entries the values by key
     * @param keyPlaces the positions of the keys
     */
    record Mapping(Place place, Map<String, PlacedNode> entries, Map<String, Place> keyPlaces) implements PlacedNode {}

    /**
     * A sequence.
     *
     * @param place the position at which it begins
     * @param items the items in order
     */
    record Sequence(Place place, List<PlacedNode> items) implements PlacedNode {}

    /**
     * A scalar value.
     *
     * @param place the position of the value
     * @param text the value as written, without quotes
     */
    record Scalar(Place place, String text) implements PlacedNode {}
}
