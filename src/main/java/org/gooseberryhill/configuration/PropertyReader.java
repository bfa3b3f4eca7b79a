package org.gooseberryhill.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.gooseberryhill.link.Address;

/**
 * Reads and validates the properties of one mapping; adds a finding for each error. Not thread-safe.
 *
 * <p>A getter always returns a usable value, so that reading continues and all errors are found in one pass.
 */
final class PropertyReader {
    /** Stands for an address that is missing or invalid, which is reported where it is read. */
    static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,63}");
    /** The value of an address that is missing or invalid, which is reported as a finding. */
    private final YamlNode.Mapping mapping;

    private final String path;
    private final Findings findings;

    /** Whether the node is a mapping or blank; any other node is reported itself, and its missing keys are not. */
    private final boolean mappingOrBlank;

    PropertyReader(YamlNode node, String path, Findings findings) {
        this.path = path;
        this.findings = findings;
        if (node instanceof YamlNode.Mapping mappingNode) {
            this.mapping = mappingNode;
            this.mappingOrBlank = true;
        } else {
            this.mapping = new YamlNode.Mapping(node.position(), Map.of(), Map.of());
            this.mappingOrBlank = isBlank(node);
            if (!mappingOrBlank) {
                findings.add(node.position(), path, "value.mapping");
            }
        }
    }

    /** Adds a finding for each key of the mapping that is not among the given ones. */
    PropertyReader allowOnly(String... keys) {
        Set<String> allowedKeys = Set.of(keys);
        for (String key : mapping.entries().keySet()) {
            if (!allowedKeys.contains(key)) {
                findings.add(mapping.keyPositions().get(key), pathOf(key), "key.unknown", sortedList(allowedKeys));
            }
        }
        return this;
    }

    /** Returns the position of the key's value, or of the mapping if the key is missing. */
    TextPosition positionOf(String key) {
        YamlNode node = mapping.entries().get(key);
        return node == null ? mapping.position() : node.position();
    }

    String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Calls the consumer for each entry of a mapping whose keys are names; adds a finding for each invalid name. */
    void forEachEntry(String key, BiConsumer<String, YamlNode> consumer) {
        YamlNode node = mapping.entries().get(key);
        if (node == null || isBlank(node)) {
            return;
        }
        if (!(node instanceof YamlNode.Mapping namedEntries)) {
            findings.add(node.position(), pathOf(key), "value.mapping");
            return;
        }
        namedEntries.entries().forEach((name, value) -> {
            if (!NAME.matcher(name).matches()) {
                findings.add(namedEntries.keyPositions().get(name), pathOf(key) + "." + name, "value.name", name);
            }
            consumer.accept(name, value);
        });
    }

    Optional<String> optionalText(String key) {
        YamlNode node = mapping.entries().get(key);
        if (node == null) {
            return Optional.empty();
        }
        if (node instanceof YamlNode.Scalar scalar) {
            return Optional.of(scalar.text());
        }
        findings.add(node.position(), pathOf(key), "value.text");
        return Optional.empty();
    }

    String requiredText(String key) {
        if (mappingOrBlank && !mapping.entries().containsKey(key)) {
            findings.add(mapping.position(), pathOf(key), "key.missing", key);
        }
        return optionalText(key).orElse("");
    }

    String choice(String key, String defaultValue, String... choices) {
        String value = optionalText(key).orElse(defaultValue);
        if (!Set.of(choices).contains(value)) {
            findings.add(positionOf(key), pathOf(key), "value.choice", value, String.join(", ", choices));
            return defaultValue;
        }
        return value;
    }

    int number(String key, int defaultValue, int min, int max) {
        Optional<String> text = optionalText(key);
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            int value = Integer.parseInt(text.get().trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Falls through to the finding below, which reports the text and the allowed range.
            text = Optional.of(text.get().trim());
        }
        findings.add(
                positionOf(key), pathOf(key), "value.number", text.get(), Integer.toString(min), Integer.toString(max));
        return defaultValue;
    }

    boolean flag(String key, boolean defaultValue) {
        Optional<String> text = optionalText(key);
        if (text.isEmpty()) {
            return defaultValue;
        }
        if (text.get().equals("true") || text.get().equals("false")) {
            return Boolean.parseBoolean(text.get());
        }
        findings.add(positionOf(key), pathOf(key), "value.boolean", text.get());
        return defaultValue;
    }

    Address requiredAddress(String key) {
        String text = requiredText(key);
        if (text.isEmpty()) {
            return PLACEHOLDER_ADDRESS;
        }
        Optional<Address> address = Address.parse(text);
        if (address.isEmpty()) {
            findings.add(positionOf(key), pathOf(key), "value.address", text);
        }
        return address.orElse(PLACEHOLDER_ADDRESS);
    }

    /** Returns the scalars of a list with their positions; empty if the key is missing. */
    List<YamlNode.Scalar> textList(String key) {
        YamlNode node = mapping.entries().get(key);
        if (node == null || isBlank(node)) {
            return List.of();
        }
        if (!(node instanceof YamlNode.Sequence sequence)) {
            findings.add(node.position(), pathOf(key), "value.list");
            return List.of();
        }
        List<YamlNode.Scalar> scalars = new ArrayList<>();
        for (YamlNode item : sequence.items()) {
            if (item instanceof YamlNode.Scalar scalar) {
                scalars.add(scalar);
            } else {
                findings.add(item.position(), pathOf(key), "value.text");
            }
        }
        return scalars;
    }

    static String sortedList(Set<String> names) {
        return names.stream().sorted().collect(Collectors.joining(", "));
    }

    private static boolean isBlank(YamlNode node) {
        return node instanceof YamlNode.Scalar scalar && scalar.text().isBlank();
    }
}
