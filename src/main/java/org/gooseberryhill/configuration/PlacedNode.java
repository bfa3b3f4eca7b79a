package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Map;

/** A part of the parsed text that knows its place. Immutable and thread-safe. */
public sealed interface PlacedNode {
    /** Where the part begins. */
    Place place();

    /**
     * A mapping, in the order of the text.
     *
     * @param place where it begins
     * @param entries the values by key
     * @param keyPlaces where each key stands
     */
    record Mapping(Place place, Map<String, PlacedNode> entries, Map<String, Place> keyPlaces) implements PlacedNode {}

    /**
     * A list.
     *
     * @param place where it begins
     * @param items its items
     */
    record Sequence(Place place, List<PlacedNode> items) implements PlacedNode {}

    /**
     * A single value.
     *
     * @param place where it stands
     * @param text the value as written, without quotes
     */
    record Scalar(Place place, String text) implements PlacedNode {}
}
