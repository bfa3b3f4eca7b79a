package org.gooseberryhill.configuration;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reader of one top-level section of the configuration, a mapping from names to entries. Implementations are stateless.
 *
 * @param <T> the type of the settings read from an entry
 */
interface ConfigurationSection<T> {
    /** Returns the section's key in the text. */
    String key();

    /** Reads one entry; adds a finding for each invalid value and uses a default in its place. */
    T readEntry(String name, PropertyReader entry);

    /** Reads all entries of the section, in the order of the text. */
    default Map<String, T> read(PropertyReader root, Findings findings) {
        Map<String, T> entries = new LinkedHashMap<>();
        root.forEachEntry(key(), (name, node) -> {
            String path = key() + "." + name;
            entries.put(name, readEntry(name, new PropertyReader(node, path, findings)));
        });
        return entries;
    }
}
